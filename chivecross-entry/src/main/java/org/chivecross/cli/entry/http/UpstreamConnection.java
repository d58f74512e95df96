package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * A connection to a target.
 *
 * <p>Invariant: it has at most one user at a time. It returns to its pool only after a complete
 * request and response without surplus bytes. Safe for use by many threads.
 */
final class UpstreamConnection {

  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

  /** Time before the announced close from which a connection is not reused any more, in ms. */
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 1_000;

  private final NIOConnection connection;
  private final UpstreamPool pool;
  private volatile @Nullable UpstreamUser user;
  private volatile long lastActivityNanos;
  private volatile long reusableUntilNanos = Long.MAX_VALUE;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicBoolean endSeen = new AtomicBoolean();
  private volatile boolean endConfirmed;

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

  /** Records how long the target keeps the connection, if its response contains a Keep-Alive. */
  void noteKeepAlive(HttpResponsePacket head, long nowNanos) {
    String text = head.getHeader("Keep-Alive");
    Matcher matcher = TIMEOUT.matcher(text == null ? "" : text);
    if (matcher.find()) {
      long millis = TimeUnit.SECONDS.toMillis(Long.parseLong(matcher.group(1)));
      long margin = Math.min(KEEP_ALIVE_MARGIN_MILLIS, millis / 2);
      reusableUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis - margin);
    }
  }

  /**
   * Returns whether a request can be sent without a race with the target's announced close. An idle
   * connection on which this returns false must be closed: a byte of it may have been read.
   */
  boolean isReusable(long nowNanos) {
    return isOpen() && nowNanos < reusableUntilNanos && isSilent();
  }

  /**
   * Returns whether nothing has arrived on this idle connection, neither its end nor bytes that
   * belong to no request. The selector may not have read either yet.
   */
  private boolean isSilent() {
    try {
      return ((SocketChannel) connection.getChannel()).read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  /** Marks that the end of the stream was read; returns true for the first call. */
  boolean markEndSeen() {
    return endSeen.compareAndSet(false, true);
  }

  /** Returns whether the target has sent no reset behind the end of the stream. */
  boolean isEndConfirmed() {
    return endConfirmed;
  }

  /**
   * Looks for a reset behind the end of the stream, which reads don't report.
   *
   * @return whether there is none
   */
  boolean confirmEnd() {
    try (Selector selector = Selector.open()) {
      // An established connection is selected for this operation only if an error is pending.
      connection.getChannel().register(selector, SelectionKey.OP_CONNECT);
      endConfirmed = selector.selectNow() == 0;
    } catch (IOException e) {
      Logger.debug(e, "can't look for a reset; the end of the stream counts as one");
    }
    return endConfirmed;
  }

  boolean isOpen() {
    return connection.isOpen();
  }

  /** Marks the end of the connection as reported; returns true for the first call. */
  boolean markClosed() {
    return closed.compareAndSet(false, true);
  }

  /** Closes the connection at once; its close listener removes it from the pool. */
  void close() {
    user = null;
    connection.terminateSilently();
  }
}
