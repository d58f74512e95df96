package org.chivecross.cli.entry.http;

import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a target.
 *
 * <p>Invariant: at most one user has it at a time; it returns to its pool only when request and
 * response were exchanged completely and nothing else was read. Safe for use by many threads.
 */
final class UpstreamConnection {

  private final NIOConnection connection;
  private final UpstreamPool pool;
  private volatile @Nullable UpstreamUser user;
  private volatile long lastLifeNanos;
  private final AtomicBoolean closed = new AtomicBoolean();

  UpstreamConnection(NIOConnection connection, UpstreamPool pool, long nowNanos) {
    this.connection = connection;
    this.pool = pool;
    lastLifeNanos = nowNanos;
  }

  NIOConnection connection() {
    return connection;
  }

  UpstreamPool pool() {
    return pool;
  }

  @Nullable UpstreamUser user() {
    return user;
  }

  void use(@Nullable UpstreamUser next) {
    user = next;
  }

  /** Returns the monotonic time at which the target last sent a byte, or accepted it. */
  long lastLifeNanos() {
    return lastLifeNanos;
  }

  void showedLife(long nowNanos) {
    lastLifeNanos = nowNanos;
  }

  boolean isOpen() {
    return connection.isOpen();
  }

  /** Returns true once, for whoever reports the end of the connection first. */
  boolean markClosed() {
    return closed.compareAndSet(false, true);
  }

  /** Closes the connection at once; the pool forgets it. */
  void close() {
    user = null;
    connection.terminateSilently();
  }
}
