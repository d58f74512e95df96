package org.chivecross.cli.entry.http;

import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * The body of a request that is being received.
 *
 * <p>Bytes are kept up to a limit, so that a small body can be sent again. A longer body is
 * streamed to one attempt and never kept completely. Guarded by the lock of the exchange.
 */
final class RequestBody {

  private final int retainLimitBytes;
  private final List<Buffer> retained = new ArrayList<>(1);
  private int retainedBytes;
  private long receivedBytes;
  private boolean complete;
  private boolean streaming;

  /** Creates an empty body of which at most about {@code retainLimitBytes} bytes are kept. */
  RequestBody(int retainLimitBytes) {
    this.retainLimitBytes = retainLimitBytes;
  }

  /** Adds a part of the body; returns false if it must be streamed instead of kept. */
  boolean retain(Buffer content, boolean last) {
    receivedBytes += content.remaining();
    complete |= last;
    if (streaming) {
      return false;
    }
    if (content.hasRemaining()) {
      content.allowBufferDispose(false);
      retained.add(content);
      retainedBytes += content.remaining();
    }
    return true;
  }

  /** Returns whether sending may start: the body is complete or too long to keep. */
  boolean isReadyToSend() {
    return complete || retainedBytes >= retainLimitBytes;
  }

  boolean isComplete() {
    return complete;
  }

  boolean isStreaming() {
    return streaming;
  }

  long receivedBytes() {
    return receivedBytes;
  }

  /** Returns the kept bytes as one buffer, which may be consumed. */
  Buffer retainedContent(MemoryManager<?> memory) {
    if (retained.isEmpty()) {
      return Buffers.EMPTY_BUFFER;
    }
    if (retained.size() == 1) {
      return retained.get(0).duplicate();
    }
    Buffer all = memory.allocate(retainedBytes);
    for (Buffer part : retained) {
      all.put(part.duplicate());
    }
    all.flip();
    return all;
  }

  /** Discards the kept bytes; from now on, the body is streamed to one attempt. */
  void startStreaming() {
    streaming = true;
    retained.clear();
    retainedBytes = 0;
  }
}
