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
 * Connection of a caller, with its exchanges in the order of their requests.
 *
 * <p>Invariant: only the first exchange writes to the connection; the others run meanwhile and hold
 * their answers back until their turn, so answers leave in the order of the requests. Safe for use
 * by many threads; exchanges are called without the lock.
 */
final class CallerConnection {

  /** Pipelined requests that run at the same time; the next one waits unread. */
  private static final int MAX_OPEN_EXCHANGES = 8;

  private final NIOConnection connection;
  private final Deque<CallerExchange> open = new ArrayDeque<>();
  private final Set<CallerExchange> ended = new HashSet<>();
  private @Nullable HttpRequestPacket unreadEndedRequest;
  private @Nullable FilterChainContext suspendedRequest;
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

  /** Returns whether no request is waiting for its answer. */
  synchronized boolean isIdle() {
    return open.isEmpty();
  }

  /** Returns whether an exchange may write its answer now. */
  synchronized boolean mayWrite(CallerExchange exchange) {
    return open.peekFirst() == exchange;
  }

  /** Returns whether requests wait behind that of an exchange. */
  synchronized boolean hasLaterRequests(CallerExchange exchange) {
    return suspendedRequest != null || open.peekLast() != exchange;
  }

  /** Starts an exchange. */
  synchronized void begin(CallerExchange exchange) {
    open.addLast(exchange);
    headStartNanos = 0;
  }

  /** Suspends a pipelined request when too many are open; returns false when it may run. */
  synchronized boolean suspendIfFull(FilterChainContext context) {
    if (open.size() < MAX_OPEN_EXCHANGES) {
      return false;
    }
    context.suspend();
    suspendedRequest = context;
    return true;
  }

  /**
   * Notes that an exchange is over, and gives the turn to the next one that is not.
   *
   * @return the request that waited unread, if there is room for it now
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

  /** Returns whether the request was answered already, so that the rest of it is dropped. */
  synchronized boolean isExchangeEnded(HttpRequestPacket request) {
    return request == unreadEndedRequest;
  }

  /** A part of a request head arrived that is not complete yet. */
  void headIncomplete(long nowNanos) {
    if (headStartNanos == 0) {
      headStartNanos = nowNanos;
    }
  }

  /**
   * Ends the sending side and drops what still arrives. An immediate close would reset the
   * connection, and the caller could lose the answer that was just sent.
   */
  void linger(long nowNanos) {
    lingerStartNanos = nowNanos;
    try {
      ((SocketChannel) connection.getChannel()).shutdownOutput();
    } catch (IOException e) {
      connection.terminateSilently();
    }
  }

  /** Returns whether the caller went on sending for longer than {@code lingerNanos}. */
  boolean isLingeringLongerThan(long lingerNanos, long nowNanos) {
    long since = lingerStartNanos;
    return since != 0 && nowNanos - since > lingerNanos;
  }

  /** Returns whether a head has been incomplete for longer than {@code headNanos}. */
  boolean isHeadOverdue(long headNanos, long nowNanos) {
    long since = headStartNanos;
    return since != 0 && nowNanos - since > headNanos;
  }

  /** Returns whether nothing has been in flight for longer than {@code idleNanos}. */
  boolean isIdleLongerThan(long idleNanos, long nowNanos) {
    return isIdle() && nowNanos - idleSinceNanos > idleNanos;
  }
}
