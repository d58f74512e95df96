package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jspecify.annotations.Nullable;

/**
 * A connection of a caller, with its open exchanges in the order of their requests.
 *
 * <p>Invariant: only the first exchange writes to the connection. The others run concurrently and
 * queue their responses, so responses are sent in the order of the requests. No exchange begins on
 * a connection that is being closed. Safe for use by many threads; exchanges are called without the
 * lock.
 */
final class CallerConnection {

  /** Limit on pipelined requests that run concurrently; the next one is not read. */
  private static final int MAX_OPEN_EXCHANGES = 8;

  private final NIOConnection connection;
  private final Deque<CallerExchange> open = new ArrayDeque<>();
  private final Set<CallerExchange> ended = new HashSet<>();
  private @Nullable HttpRequestPacket unreadEndedRequest;
  private @Nullable FilterChainContext suspendedRequest;
  private boolean closing;
  private volatile long idleSinceNanos;
  private volatile long headStartNanos;
  private volatile long lingerStartNanos;

  CallerConnection(NIOConnection connection, long nowNanos) {
    this.connection = connection;
    idleSinceNanos = nowNanos;
  }

  NIOConnection connection() {
    return connection;
  }

  /** Returns the exchange of the newest request, if any is open. */
  synchronized @Nullable CallerExchange newest() {
    return open.peekLast();
  }

  /** Returns all open exchanges. */
  synchronized List<CallerExchange> openExchanges() {
    return List.copyOf(open);
  }

  /** Returns whether no request is being served. */
  synchronized boolean isIdle() {
    return open.isEmpty();
  }

  /** Returns whether an exchange may write its response now. */
  synchronized boolean mayWrite(CallerExchange exchange) {
    return open.peekFirst() == exchange;
  }

  /** Returns whether other requests have arrived after that of an exchange. */
  synchronized boolean hasLaterRequests(CallerExchange exchange) {
    return suspendedRequest != null || open.peekLast() != exchange;
  }

  /**
   * Adds an exchange whose request has begun to arrive.
   *
   * @return false if the connection is being closed, so that the request must not be sent on
   */
  synchronized boolean begin(CallerExchange exchange) {
    if (closing) {
      return false;
    }
    open.addLast(exchange);
    headStartNanos = 0;
    return true;
  }

  /**
   * Decides to close a connection that exceeded a time-out; from then on no exchange begins on it.
   *
   * @return whether it must be closed now
   */
  synchronized boolean expire(long idleNanos, long headNanos, long lingerNanos, long nowNanos) {
    closing |=
        isIdleLongerThan(idleNanos, nowNanos)
            || isHeadOverdue(headNanos, nowNanos)
            || isLingeringLongerThan(lingerNanos, nowNanos);
    return closing;
  }

  /** Suspends a pipelined request if too many are open; returns whether it was suspended. */
  synchronized boolean suspendIfFull(FilterChainContext context) {
    if (open.size() < MAX_OPEN_EXCHANGES) {
      return false;
    }
    context.suspend();
    suspendedRequest = context;
    return true;
  }

  /**
   * Records that an exchange is over, and allows the next exchange to write.
   *
   * @return the suspended request, if any, which may run now
   */
  @Nullable FilterChainContext end(CallerExchange exchange, long nowNanos) {
    synchronized (this) {
      if (open.peekLast() == exchange) {
        unreadEndedRequest = exchange.isRequestComplete() ? null : exchange.request();
      }
      ended.add(exchange);
      idleSinceNanos = nowNanos;
    }
    while (true) {
      CallerExchange next;
      synchronized (this) {
        CallerExchange first = open.peekFirst();
        if (first == null || !ended.remove(first)) {
          break;
        }
        open.removeFirst();
        next = open.peekFirst();
      }
      if (next != null) {
        next.writeAllowed();
      }
    }
    synchronized (this) {
      FilterChainContext context = suspendedRequest;
      suspendedRequest = null;
      return context;
    }
  }

  /** Returns whether the exchange of a request is over, so that the rest of it is dropped. */
  synchronized boolean isExchangeEnded(HttpRequestPacket request) {
    return request == unreadEndedRequest;
  }

  /** Records that an incomplete request head has been read. */
  void headIncomplete(long nowNanos) {
    if (headStartNanos == 0) {
      headStartNanos = nowNanos;
    }
  }

  /**
   * Shuts down the sending side; what the caller still sends is dropped. An immediate close would
   * reset the connection, and the caller could lose the response that was just sent.
   */
  void linger(long nowNanos) {
    lingerStartNanos = nowNanos;
    try {
      ((SocketChannel) connection.getChannel()).shutdownOutput();
    } catch (IOException e) {
      connection.terminateSilently();
    }
  }

  /** Returns whether {@link #linger} was called more than {@code lingerNanos} ago. */
  private boolean isLingeringLongerThan(long lingerNanos, long nowNanos) {
    long since = lingerStartNanos;
    return since != 0 && nowNanos - since > lingerNanos;
  }

  /** Returns whether a head has been incomplete for longer than {@code headNanos}. */
  private boolean isHeadOverdue(long headNanos, long nowNanos) {
    long since = headStartNanos;
    return since != 0 && nowNanos - since > headNanos;
  }

  /**
   * Decides to close a connection without a request; from then on no exchange begins on it.
   *
   * @return whether it must be closed now
   */
  synchronized boolean closeIfIdle() {
    closing |= open.isEmpty();
    return closing;
  }

  /** Returns whether nothing has been in flight for longer than {@code idleNanos}. */
  private boolean isIdleLongerThan(long idleNanos, long nowNanos) {
    return isIdle() && nowNanos - idleSinceNanos > idleNanos;
  }
}
