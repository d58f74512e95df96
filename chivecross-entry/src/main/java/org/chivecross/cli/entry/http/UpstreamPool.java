package org.chivecross.cli.entry.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.chivecross.model.request.ConnectionKind;

/**
 * Idle connections to one target.
 *
 * <p>Invariant: {@code total} counts connections that are idle, in use or being opened, and stays
 * within the limit given by the caller. The connection used last is handed out first, so a low load
 * keeps few connections live. Safe for use by many threads.
 */
final class UpstreamPool {

  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final long recentActivityNanos;
  private int total;

  UpstreamPool(long recentLifeNanos) {
    this.recentActivityNanos = recentLifeNanos;
  }

  /** Takes an idle connection that suits {@code kind}. */
  Optional<UpstreamConnection> takeIdle(ConnectionKind kind, long nowNanos) {
    List<UpstreamConnection> expired = new ArrayList<>();
    Optional<UpstreamConnection> taken = takeIdle(kind, nowNanos, expired);
    expired.forEach(UpstreamConnection::close);
    return taken;
  }

  private synchronized Optional<UpstreamConnection> takeIdle(
      ConnectionKind kind, long nowNanos, List<UpstreamConnection> expired) {
    if (kind == ConnectionKind.FRESH) {
      return Optional.empty();
    }
    while (!idle.isEmpty()) {
      UpstreamConnection connection = idle.peekFirst();
      if (kind == ConnectionKind.RECENTLY_LIVE && !isRecentlyActive(connection, nowNanos)) {
        return Optional.empty();
      }
      idle.pollFirst();
      if (connection.isReusable(nowNanos)) {
        return Optional.of(connection);
      }
      expired.add(connection);
    }
    return Optional.empty();
  }

  /**
   * Reserves room for a new connection, closing an idle one when the limit is reached.
   *
   * @return false when all connections are in use
   */
  boolean tryReserve(int limit) {
    UpstreamConnection victim;
    synchronized (this) {
      if (total < limit) {
        total++;
        return true;
      }
      victim = idle.pollLast();
      if (victim == null) {
        return false;
      }
      total++;
    }
    victim.close();
    return true;
  }

  /** Gives back the room of a connection that was closed or never opened. */
  synchronized void closed(UpstreamConnection connection) {
    idle.remove(connection);
    total--;
  }

  /** Gives back the room of a connection that could not be opened. */
  synchronized void connectFailed() {
    total--;
  }

  /** Takes a connection back whose exchange was complete. */
  synchronized void release(UpstreamConnection connection) {
    if (connection.isOpen()) {
      idle.addFirst(connection);
    }
  }

  /**
   * Closes all idle connections without a recent sign of life. Called when one connection to the
   * target was found silent, since what loses one connection usually loses its neighbours too.
   *
   * @return number of connections closed
   */
  int closeSuspects(long nowNanos) {
    List<UpstreamConnection> suspects = new ArrayList<>();
    synchronized (this) {
      for (UpstreamConnection connection : idle) {
        if (!isRecentlyActive(connection, nowNanos)) {
          suspects.add(connection);
        }
      }
      idle.removeAll(suspects);
    }
    suspects.forEach(UpstreamConnection::close);
    return suspects.size();
  }

  /** Closes idle connections that were not used for {@code idleNanos}. */
  void closeIdle(long idleNanos, long nowNanos) {
    List<UpstreamConnection> old = new ArrayList<>();
    synchronized (this) {
      while (!idle.isEmpty() && nowNanos - idle.peekLast().lastActivityNanos() > idleNanos) {
        old.add(idle.pollLast());
      }
    }
    old.forEach(UpstreamConnection::close);
  }

  /** Returns the number of connections that are idle, in use or being opened. */
  synchronized int total() {
    return total;
  }

  private boolean isRecentlyActive(UpstreamConnection connection, long nowNanos) {
    return nowNanos - connection.lastActivityNanos() <= recentActivityNanos;
  }
}
