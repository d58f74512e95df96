package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;
import org.jspecify.annotations.Nullable;

/**
 * Reads some bytes of a connection while the processing of earlier ones is suspended. The library
 * doesn't read from a suspended connection, so a caller that closes it would otherwise be noticed
 * only when the processing goes on.
 *
 * <p>Invariant: only the selector thread of the connection reads from it, so the bytes stay in
 * order. Safe for use by many threads.
 */
final class ReadAhead {

  /** Most bytes that are read ahead; a close behind more is noticed later. */
  static final int MAX_BYTES = 64 * 1024;

  private final NIOConnection connection;
  private final NIOTransport transport;
  private final BufferAccount account;
  private final AtomicInteger suspended = new AtomicInteger();
  private final Runnable peerClosed;
  private final byte[] none = new byte[0];
  private byte[] bytes = none;

  /**
   * Creates a reader that has read nothing.
   *
   * @param peerClosed closes a connection that its peer has closed
   */
  ReadAhead(NIOConnection connection, BufferAccount account, Runnable peerClosed) {
    this.peerClosed = peerClosed;
    this.connection = connection;
    transport = (NIOTransport) connection.getTransport();
    this.account = account;
  }

  /** Records that the processing of a part is about to be suspended. */
  void suspended() {
    suspended.incrementAndGet();
  }

  /** Records that a suspended part was processed, or was suspended once more. */
  void resumed() {
    suspended.decrementAndGet();
    deliver();
  }

  /** Reads what has arrived if the processing is suspended. */
  void poll() {
    if (suspended.get() > 0) {
      onSelectorThread(this::pollNow);
    }
  }

  private void pollNow() throws IOException {
    if (suspended.get() > 0 && connection.isOpen()) {
      try {
        if (read() < 0) {
          peerClosed.run();
        }
      } catch (IOException e) {
        peerClosed.run();
      }
    }
    deliverNow();
  }

  private synchronized int read() throws IOException {
    ByteBuffer free = ByteBuffer.allocate(MAX_BYTES - bytes.length);
    if (!free.hasRemaining()) {
      return 0;
    }
    int count = ((SocketChannel) connection.getChannel()).read(free);
    if (count > 0) {
      ByteBuffer all = ByteBuffer.allocate(bytes.length + count);
      all.put(bytes).put(free.flip());
      bytes = all.array();
      account.holdAhead(count);
    }
    return count;
  }

  private synchronized boolean isDue() {
    return bytes.length > 0 && suspended.get() == 0;
  }

  private void deliver() {
    if (isDue()) {
      onSelectorThread(this::deliverNow);
    }
  }

  /** Lets the filter chain read what is here, unless another part was suspended meanwhile. */
  private void deliverNow() throws IOException {
    if (isDue() && connection.isOpen()) {
      transport.getIOStrategy().executeIoEvent(connection, IOEvent.READ, true);
    }
  }

  private void onSelectorThread(IoTask task) {
    transport
        .getSelectorHandler()
        .execute(
            connection.getSelectorRunner(),
            () -> {
              task.run();
              return true;
            },
            null);
  }

  /** Takes the bytes that were read ahead, if any. */
  synchronized @Nullable Buffer take() {
    if (bytes.length == 0) {
      return null;
    }
    Buffer taken = Buffers.wrap(connection.getMemoryManager(), bytes);
    account.holdAhead(-bytes.length);
    bytes = none;
    return taken;
  }

  /** Work on the connection. */
  @FunctionalInterface
  private interface IoTask {
    void run() throws IOException;
  }
}
