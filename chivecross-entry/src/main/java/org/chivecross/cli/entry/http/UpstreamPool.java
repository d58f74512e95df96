package org.chivecross.cli.entry.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.chivecross.model.request.ConnectionKind;

/**
 * The pool of connections to one target.
 *
 * <p>Invariant: {@code total} counts the connections that are idle, in use or being opened, and
 * stays within the limit that {@link #tryReserve} is given. The connection used last is reused
 * first, so that a low load keeps few connections alive. Safe for use by many threads.
 */
final class UpstreamPool {

  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final long recentActivityNanos;
  private int total;

  UpstreamPool(long recentActivityNanos) {
    this.recentActivityNanos = recentActivityNanos;
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
   * Reserves a place for a new connection; closes an idle one if the limit is reached.
   *
   * @return false if the limit is reached and no connection is idle
   */
  boolean tryReserve(int limit) {
    UpstreamConnection evicted;
    synchronized (this) {
      if (total < limit) {
        total++;
        return true;
      }
      evicted = idle.pollLast();
      if (evicted == null) {
        return false;
      }
      total++;
    }
    evicted.close();
    return true;
  }

  /** Removes a connection that was closed. */
  synchronized void closed(UpstreamConnection connection) {
    idle.remove(connection);
    total--;
  }

  /** Releases the place of a connection that could not be opened. */
  synchronized void connectFailed() {
    total--;
  }

  /** Makes a connection idle whose exchange was complete. */
  synchronized void release(UpstreamConnection connection) {
    if (connection.isOpen()) {
      idle.addFirst(connection);
    }
  }

  /**
   * Closes all idle connections without recent activity. Called when one connection to the target
   * was found silent, since the cause usually affects the other connections too.
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

  /** Closes idle connections without activity for {@code idleNanos}. */
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
