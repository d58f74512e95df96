package org.chivecross.cli.entry.http;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.nio.NIOConnection;

/** The open connections of callers. Safe for use by many threads. */
final class CallerRegistry {

  private static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Attribute<CallerConnection> attribute =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("chivecross.caller");
  private final Set<CallerConnection> open = ConcurrentHashMap.newKeySet();
  private final CutRequestListener cuts;
  private volatile long idleNanos;
  private volatile long headNanos;
  private volatile boolean stopping;

  CallerRegistry(DataPathSettings settings, CutRequestListener cuts) {
    this.cuts = cuts;
    applyTimeouts(settings.idleTimeoutMillis(), settings.headerTimeoutMillis());
  }

  /** Changes the time-outs, in ms; they apply to open connections as well. */
  void applyTimeouts(long idleMillis, long headMillis) {
    idleNanos = TimeUnit.MILLISECONDS.toNanos(idleMillis);
    headNanos = TimeUnit.MILLISECONDS.toNanos(headMillis);
  }

  /** Adds an accepted connection. */
  void add(NIOConnection connection, long nowNanos) {
    CallerConnection caller = new CallerConnection(connection, cuts, nowNanos);
    attribute.set(connection, caller);
    open.add(caller);
    connection.addCloseListener((closeable, type) -> closed(caller));
    if (stopping) {
      closeIfIdle(caller);
    }
  }

  /** Returns the caller of a connection, if it was accepted here. */
  Optional<CallerConnection> of(Connection<?> connection) {
    return Optional.ofNullable(attribute.get(connection));
  }

  /** Returns the number of open connections. */
  int count() {
    return open.size();
  }

  /** Returns whether no connection has an open exchange or bytes that are not written yet. */
  boolean isDrained() {
    for (CallerConnection caller : open) {
      if (!caller.isDrained()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Closes connections that exceeded the idle time-out, the time-out of a request head or the time
   * to linger.
   */
  void closeIdle(long nowNanos) {
    for (CallerConnection caller : open) {
      if (caller.expire(idleNanos, headNanos, LINGER_NANOS, nowNanos)) {
        caller.connection().closeSilently();
      }
    }
  }

  /**
   * Closes the sending side of all connections on which no request is being served and nothing is
   * left to write; they are closed when their callers close theirs or have had time for it. Those
   * that were accepted before and are added later carry no response and are closed at once.
   */
  void closeAllIdle() {
    stopping = true;
    long now = System.nanoTime();
    for (CallerConnection caller : open) {
      if (caller.tryEndIdle()) {
        caller.linger(now);
      }
    }
  }

  /** Ends all open exchanges because the entry ends. */
  void stopExchanges(StoppedRequestLog stopped) {
    for (CallerConnection caller : open) {
      caller.newestFirst().forEach(exchange -> exchange.stop(stopped));
    }
  }

  /** Records that the open connections are about to be closed by the end of the entry. */
  void noteStopOver() {
    open.forEach(caller -> caller.noteCloseReason(CloseReason.STOP_OVER));
  }

  private static void closeIfIdle(CallerConnection caller) {
    if (caller.closeIfIdle()) {
      caller.connection().closeSilently();
    }
  }

  private void closed(CallerConnection caller) {
    open.remove(caller);
    // The type that listeners get is not always that of the reason.
    boolean isRemote = caller.connection().getCloseReason().getType() == CloseType.REMOTELY;
    CloseReason reason = isRemote ? CloseReason.CALLER : CloseReason.LIBRARY;
    caller.closed(reason).forEach(CallerExchange::callerClosed);
  }
}
