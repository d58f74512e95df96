package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jspecify.annotations.Nullable;

/**
 * Connection of a caller. It serves one exchange at a time; a pipelined request waits until the one
 * before it was answered. Safe for use by many threads.
 */
final class CallerConnection {

  private final NIOConnection connection;
  private @Nullable CallerExchange current;
  private @Nullable HttpRequestPacket finished;
  private @Nullable FilterChainContext pipelined;
  private volatile long idleSinceNanos;
  private volatile long headSinceNanos;
  private volatile long lingerSinceNanos;

  CallerConnection(NIOConnection connection, long nowNanos) {
    this.connection = connection;
    idleSinceNanos = nowNanos;
  }

  NIOConnection connection() {
    return connection;
  }

  synchronized @Nullable CallerExchange current() {
    return current;
  }

  /** Starts an exchange. */
  synchronized void begin(CallerExchange exchange) {
    current = exchange;
    headSinceNanos = 0;
  }

  /** Suspends a pipelined request; returns false when the way is free. */
  synchronized boolean park(FilterChainContext context) {
    if (current == null) {
      return false;
    }
    context.suspend();
    pipelined = context;
    return true;
  }

  /** Ends the current exchange and returns the request that waited for it, if any. */
  synchronized @Nullable FilterChainContext end(long nowNanos) {
    if (current != null) {
      finished = current.isRequestComplete() ? null : current.request();
      current = null;
    }
    idleSinceNanos = nowNanos;
    FilterChainContext context = pipelined;
    pipelined = null;
    return context;
  }

  /** Returns whether the request was answered already, so that the rest of it is dropped. */
  synchronized boolean isFinished(HttpRequestPacket request) {
    return request == finished;
  }

  /** A part of a request head arrived that is not complete yet. */
  void headIncomplete(long nowNanos) {
    if (headSinceNanos == 0) {
      headSinceNanos = nowNanos;
    }
  }

  /**
   * Ends the sending side and drops what still arrives. An immediate close would reset the
   * connection, and the caller could lose the answer that was just sent.
   */
  void linger(long nowNanos) {
    lingerSinceNanos = nowNanos;
    try {
      ((SocketChannel) connection.getChannel()).shutdownOutput();
    } catch (IOException e) {
      connection.terminateSilently();
    }
  }

  /** Returns whether the caller went on sending for longer than {@code lingerNanos}. */
  boolean isLingeringLongerThan(long lingerNanos, long nowNanos) {
    long since = lingerSinceNanos;
    return since != 0 && nowNanos - since > lingerNanos;
  }

  /** Returns whether a head has been incomplete for longer than {@code headNanos}. */
  boolean isHeadLate(long headNanos, long nowNanos) {
    long since = headSinceNanos;
    return since != 0 && nowNanos - since > headNanos;
  }

  /** Returns whether nothing has been in flight for longer than {@code idleNanos}. */
  boolean isIdleLongerThan(long idleNanos, long nowNanos) {
    return current() == null && nowNanos - idleSinceNanos > idleNanos;
  }
}
