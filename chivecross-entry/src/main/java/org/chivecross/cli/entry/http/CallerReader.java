package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOUtils;
import org.jspecify.annotations.Nullable;

/**
 * Reads from the connection of a caller, and finds the end of the stream before the selector does.
 * The selector reads a request and the close behind it in different rounds, which may be seconds
 * apart while it lags.
 *
 * <p>Invariants: bytes are delivered in the order of their arrival, and those that were read while
 * looking for the end are delivered on the selector thread, never beside a reader that is suspended
 * or being resumed. Safe for use by many threads.
 */
final class CallerReader {

  /** Time for which a caller that was still connected counts as connected. */
  private static final long PRESENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  /** Limit on the bytes that are read while looking for the end of the stream. */
  private static final int MAX_AHEAD_BYTES = 16 * 1024;

  private static final ThreadLocal<ByteBuffer> LOOK_BUFFER =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(4 * 1024));

  private final NIOConnection connection;
  private @Nullable Buffer ahead;
  private int suspended;
  private boolean hasLooked;
  private long lookedNanos;
  private boolean ended;

  CallerReader(NIOConnection connection) {
    this.connection = connection;
  }

  /**
   * Returns the bytes that arrived next; none if there are none yet.
   *
   * @throws IOException at the end of the stream, or after a reset
   */
  synchronized Buffer read() throws IOException {
    Buffer kept = ahead;
    if (kept != null) {
      ahead = null;
      return kept;
    }
    Buffer read = TCPNIOUtils.allocateAndReadBuffer((TCPNIOConnection) connection);
    read.trim();
    return read;
  }

  /**
   * Returns whether the caller has closed its side or reset the connection. Looks at the socket
   * itself, unless it did so a moment ago.
   */
  synchronized boolean isEnded(long nowNanos) {
    if (!ended && (!hasLooked || nowNanos - lookedNanos > PRESENCE_NANOS)) {
      hasLooked = true;
      lookedNanos = nowNanos;
      look();
    }
    return ended;
  }

  /** Returns whether {@link #isEnded(long)} has found the end of the stream. */
  synchronized boolean isEnded() {
    return ended;
  }

  /** Suspends reading until {@link #resume} has returned. */
  synchronized void suspend(FilterChainContext context) {
    suspended++;
    context.suspend();
  }

  synchronized boolean isSuspended() {
    return suspended > 0;
  }

  /** Continues to read by an action; call it without a lock. */
  void resume(Runnable action) {
    action.run();
    synchronized (this) {
      suspended--;
    }
    deliverSoon();
  }

  private void look() {
    try {
      SocketChannel channel = (SocketChannel) connection.getChannel();
      ByteBuffer buffer = LOOK_BUFFER.get();
      while (ahead == null || ahead.remaining() < MAX_AHEAD_BYTES) {
        buffer.clear();
        int count = channel.read(buffer);
        if (count <= 0) {
          ended = count < 0;
          break;
        }
        keep(buffer.flip());
      }
    } catch (ClosedChannelException e) {
      // The entry has closed the connection; its close listener ends the exchanges.
      return;
    } catch (IOException e) {
      ended = true;
    }
    deliverSoon();
  }

  private void keep(ByteBuffer bytes) {
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    Buffer next = Buffers.wrap(connection.getMemoryManager(), copy);
    ahead =
        ahead == null ? next : Buffers.appendBuffers(connection.getMemoryManager(), ahead, next);
  }

  /** Lets the selector thread handle the kept bytes: the socket itself no longer reports them. */
  private void deliverSoon() {
    if (!hasBytesToDeliver()) {
      return;
    }
    NIOTransport transport = (NIOTransport) connection.getTransport();
    transport
        .getSelectorHandler()
        .enque(
            connection.getSelectorRunner(),
            () -> {
              if (hasBytesToDeliver()) {
                transport.getIOStrategy().executeIoEvent(connection, IOEvent.READ, true);
              }
              return true;
            },
            null);
  }

  private synchronized boolean hasBytesToDeliver() {
    return ahead != null && suspended == 0;
  }
}
