package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.nio.channels.NotYetConnectedException;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecross.model.request.Outcome;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jspecify.annotations.Nullable;

/**
 * A connection of a caller, with its open exchanges in the order of their requests.
 *
 * <p>Invariant: only the first exchange writes to the connection. The others run concurrently and
 * queue their responses, so responses are sent in the order of the requests. No exchange begins on
 * a connection once a reason to close it is noted, so that each one that has begun is told of the
 * close. Safe for use by many threads; exchanges are called without the lock.
 */
final class CallerConnection {

  /** Limit on pipelined requests that run concurrently; the next one is not read. */
  private static final int MAX_OPEN_EXCHANGES = 8;

  private final NIOConnection connection;
  private final CallerReader reader;
  private final CutRequestListener cuts;
  private final Deque<CallerExchange> open = new ArrayDeque<>();
  private final Map<CallerExchange, Outcome> ended = new HashMap<>();
  private @Nullable CallerExchange writer;
  private @Nullable HttpRequestPacket unreadEndedRequest;
  private @Nullable FilterChainContext suspendedRequest;
  private @Nullable CloseReason closeReason;
  private boolean isEnding;
  private boolean closing;
  private boolean closed;
  private volatile long idleSinceNanos;
  private volatile long headStartNanos;
  private volatile long lingerStartNanos;

  CallerConnection(NIOConnection connection, CutRequestListener cuts, long nowNanos) {
    this.connection = connection;
    reader = new CallerReader(connection);
    this.cuts = cuts;
    idleSinceNanos = nowNanos;
  }

  NIOConnection connection() {
    return connection;
  }

  CallerReader reader() {
    return reader;
  }

  /**
   * Returns whether the caller has closed or reset the connection, also if the selector has not
   * handled that yet. From then on no exchange begins on it and none writes to it.
   */
  boolean hasLeft(long nowNanos) {
    if (!reader.isEnded(nowNanos)) {
      return false;
    }
    noteCloseReason(CloseReason.CALLER);
    return true;
  }

  /** Returns the exchange of the newest request, if any is open. */
  synchronized @Nullable CallerExchange newest() {
    return open.peekLast();
  }

  /** Records why the connection is being closed, unless a reason is known already. */
  synchronized void noteCloseReason(CloseReason reason) {
    if (closeReason == null) {
      closeReason = reason;
    }
  }

  /**
   * Records that the connection is closed.
   *
   * @param reason applies if none was noted before
   * @return the open exchanges, which must be told
   */
  List<CallerExchange> closed(CloseReason reason) {
    List<CallerExchange> exchanges;
    Map<HttpRequestPacket, Outcome> unsent = new HashMap<>();
    synchronized (this) {
      noteCloseReason(reason);
      closed = true;
      exchanges = List.copyOf(open);
      for (CallerExchange exchange : exchanges) {
        Outcome outcome = ended.get(exchange);
        if (outcome != null && open.peekFirst() != exchange) {
          unsent.put(exchange.request(), outcome);
        }
      }
    }
    unsent.forEach(this::reportCut);
    return exchanges;
  }

  /** Reports a request that was read and is not begun. */
  void reportRefused(HttpRequestPacket request) {
    reportCut(request, Outcome.NOT_RUN);
  }

  private void reportCut(HttpRequestPacket request, Outcome outcome) {
    CloseReason reason;
    synchronized (this) {
      // Without a reason the close follows when the last response is written.
      reason = closeReason == null ? CloseReason.LAST_RESPONSE : closeReason;
    }
    if (reason != CloseReason.CALLER) {
      cuts.requestCut(request, reason, outcome);
    }
  }

  /** Returns whether the caller has closed or reset the connection. */
  synchronized boolean isClosedByCaller() {
    return closeReason == CloseReason.CALLER;
  }

  /** Returns whether no request is being served. */
  synchronized boolean isIdle() {
    return open.isEmpty();
  }

  /**
   * Returns whether no request is being served and all responses are written to the socket, as they
   * are once the sending side is shut down.
   */
  synchronized boolean isDrained() {
    // An exchange ends after its response was handed to the library.
    boolean isWritten = connection.getAsyncWriteQueue().spaceInBytes() == 0;
    return lingerStartNanos != 0 || (open.isEmpty() && isWritten);
  }

  /** Returns the open exchanges; an exchange that ends thus starts none behind it. */
  synchronized List<CallerExchange> newestFirst() {
    List<CallerExchange> exchanges = new ArrayList<>();
    open.descendingIterator().forEachRemaining(exchanges::add);
    return exchanges;
  }

  /** Returns whether an exchange may write its response now. */
  synchronized boolean mayWrite(CallerExchange exchange) {
    return open.peekFirst() == exchange && !reader.isEnded();
  }

  /**
   * Makes an exchange the last one of the connection unless later requests have arrived.
   *
   * @return whether it is the last one, so that none begins after it
   */
  synchronized boolean tryEndAfter(CallerExchange exchange) {
    if (suspendedRequest != null || open.peekLast() != exchange) {
      return false;
    }
    isEnding = true;
    return true;
  }

  /** Lets no exchange begin any more; those that are open may still end. */
  synchronized void endAfterOpenExchanges() {
    isEnding = true;
  }

  /**
   * Adds an exchange whose request has begun to arrive.
   *
   * @return false if the connection is closed or being closed, so that the request must not be sent
   *     on: an exchange that began later would not be told that its caller has gone
   */
  synchronized boolean begin(CallerExchange exchange) {
    if (isEnding || closeReason != null) {
      return false;
    }
    if (open.isEmpty()) {
      writer = exchange;
    }
    open.addLast(exchange);
    headStartNanos = 0;
    isEnding = !exchange.request().getProcessingState().isKeepAlive();
    return true;
  }

  /**
   * Decides to close a connection that exceeded a time-out; from then on no exchange begins on it.
   *
   * @return whether it must be closed now
   */
  synchronized boolean expire(long idleNanos, long headNanos, long lingerNanos, long nowNanos) {
    if (isLingeringLongerThan(lingerNanos, nowNanos)) {
      decideClose(CloseReason.LINGER_OVER);
    } else if (isHeadOverdue(headNanos, nowNanos)) {
      decideClose(CloseReason.HEAD_OVERDUE);
    } else if (isIdleLongerThan(idleNanos, nowNanos)) {
      decideClose(CloseReason.IDLE);
    }
    return closing;
  }

  /** Suspends a pipelined request if too many are open; returns whether it was suspended. */
  synchronized boolean suspendIfFull(FilterChainContext context) {
    if (open.size() < MAX_OPEN_EXCHANGES) {
      return false;
    }
    reader.suspend(context);
    suspendedRequest = context;
    return true;
  }

  /**
   * Records that an exchange is over, and allows the next exchange to write.
   *
   * @param outcome not-run exactly if nothing of the request was sent to a target
   * @return the suspended request, if any, for {@link #resume}
   */
  @Nullable FilterChainContext end(CallerExchange exchange, Outcome outcome, long nowNanos) {
    boolean isCut;
    synchronized (this) {
      isCut = isCut(exchange);
      if (open.peekLast() == exchange) {
        unreadEndedRequest = exchange.isRequestComplete() ? null : exchange.request();
      }
      ended.put(exchange, outcome);
      idleSinceNanos = nowNanos;
    }
    if (isCut) {
      reportCut(exchange.request(), outcome);
    }
    while (true) {
      CallerExchange next;
      synchronized (this) {
        CallerExchange first = open.peekFirst();
        // One that has not been told yet may have queued its response before its turn.
        if (first == null || first != writer || ended.remove(first) == null) {
          break;
        }
        open.removeFirst();
        next = open.peekFirst();
        writer = null;
      }
      if (next != null) {
        next.writeAllowed();
        synchronized (this) {
          writer = next;
        }
      }
    }
    synchronized (this) {
      FilterChainContext context = suspendedRequest;
      suspendedRequest = null;
      return context;
    }
  }

  /** Lets a request run that was suspended, if there is one. */
  void resume(@Nullable FilterChainContext suspended) {
    if (suspended != null) {
      reader.resume(suspended::resume);
    }
  }

  /** Returns whether an exchange that ends now has not sent its complete response. */
  private boolean isCut(CallerExchange exchange) {
    if (closeReason == CloseReason.LAST_RESPONSE) {
      return closed && open.peekFirst() != exchange;
    }
    return closed || closeReason == CloseReason.RESPONSE_ABORTED;
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
    } catch (IOException | NotYetConnectedException e) {
      noteCloseReason(CloseReason.WRITE_FAILED);
      connection.terminateSilently();
    }
  }

  /** Returns whether {@link #linger} was called more than {@code lingerNanos} ago. */
  private boolean isLingeringLongerThan(long lingerNanos, long nowNanos) {
    long since = lingerStartNanos;
    return since != 0 && nowNanos - since > lingerNanos;
  }

  /**
   * Returns whether a head on an idle connection is incomplete for longer than {@code headNanos}.
   */
  private boolean isHeadOverdue(long headNanos, long nowNanos) {
    long since = headStartNanos;
    // Requests before an overdue head are still answered.
    return since != 0 && open.isEmpty() && nowNanos - since > headNanos;
  }

  /**
   * Decides to close a connection without a request; from then on no exchange begins on it.
   *
   * @return whether it must be closed now
   */
  synchronized boolean closeIfIdle() {
    if (open.isEmpty()) {
      decideClose(CloseReason.STOP);
    }
    return closing;
  }

  /**
   * Decides to end a drained connection that is not being closed; from then on no exchange begins
   * on it.
   *
   * @return whether {@link #linger} must be called now
   */
  synchronized boolean tryEndIdle() {
    if (closeReason != null || lingerStartNanos != 0 || !isDrained()) {
      return false;
    }
    noteCloseReason(CloseReason.STOP);
    return true;
  }

  private void decideClose(CloseReason reason) {
    noteCloseReason(reason);
    closing = true;
  }

  /** Returns whether nothing has been in flight for longer than {@code idleNanos}. */
  private boolean isIdleLongerThan(long idleNanos, long nowNanos) {
    return isIdle() && nowNanos - idleSinceNanos > idleNanos;
  }
}
