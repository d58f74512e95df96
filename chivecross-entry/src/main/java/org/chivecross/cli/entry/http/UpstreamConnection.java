package org.chivecross.cli.entry.http;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a target.
 *
 * <p>Invariant: at most one user has it at a time; it returns to its pool only when request and
 * response were exchanged completely and nothing else was read. Safe for use by many threads.
 */
final class UpstreamConnection {

  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

  /** Time before the announced close from which a connection is not used any more, in ms. */
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 1_000;

  private final NIOConnection connection;
  private final UpstreamPool pool;
  private volatile @Nullable UpstreamUser user;
  private volatile long lastActivityNanos;
  private volatile long reusableUntilNanos = Long.MAX_VALUE;
  private final AtomicBoolean closed = new AtomicBoolean();

  UpstreamConnection(NIOConnection connection, UpstreamPool pool, long nowNanos) {
    this.connection = connection;
    this.pool = pool;
    lastActivityNanos = nowNanos;
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

  void setUser(@Nullable UpstreamUser next) {
    user = next;
  }

  /** Returns the monotonic time at which the target last sent a byte, or accepted it. */
  long lastActivityNanos() {
    return lastActivityNanos;
  }

  void recordActivity(long nowNanos) {
    lastActivityNanos = nowNanos;
  }

  /** Takes over for how long the target keeps the connection, if the head of its answer tells. */
  void noteKeepAlive(HttpResponsePacket head, long nowNanos) {
    String text = head.getHeader("Keep-Alive");
    Matcher matcher = TIMEOUT.matcher(text == null ? "" : text);
    if (matcher.find()) {
      long millis = TimeUnit.SECONDS.toMillis(Long.parseLong(matcher.group(1)));
      long margin = Math.min(KEEP_ALIVE_MARGIN_MILLIS, millis / 2);
      reusableUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis - margin);
    }
  }

  /** Returns whether a request may be sent without crossing the target's close on its way. */
  boolean isReusable(long nowNanos) {
    return isOpen() && nowNanos < reusableUntilNanos;
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
