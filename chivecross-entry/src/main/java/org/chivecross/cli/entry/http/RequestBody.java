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

  /**
   * Creates an empty body.
   *
   * @param retainLimitBytes length at which an incomplete body counts as too long to keep. The
   *     caller enforces it with {@link #startStreaming}; until then every part is kept whole, so
   *     the kept bytes can exceed the limit.
   */
  RequestBody(int retainLimitBytes) {
    this.retainLimitBytes = retainLimitBytes;
  }

  /**
   * Counts a part of the body and keeps it unless streaming has started.
   *
   * @return false exactly if streaming has started; the caller then forwards the part
   */
  boolean retain(Buffer content, boolean last) {
    receivedBytes += content.remaining();
    complete |= last;
    if (streaming) {
      return false;
    }
    if (content.hasRemaining()) {
      // Keeps Grizzly from freeing the part, which may be sent to several attempts.
      content.allowBufferDispose(false);
      retained.add(content);
      retainedBytes += content.remaining();
    }
    return true;
  }

  /**
   * Returns whether sending may start: the body is complete, or the kept bytes have reached the
   * limit. Meaningful only before {@link #startStreaming}.
   */
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

  /**
   * Returns the kept bytes as one buffer with a position of its own: reading it doesn't affect
   * later calls. Empty after {@link #startStreaming}.
   */
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

  /**
   * Drops the kept parts; from now on, the body is streamed to one attempt. The caller fetches
   * {@link #retainedContent} before, to send it first.
   */
  void startStreaming() {
    streaming = true;
    retained.clear();
    retainedBytes = 0;
  }
}
