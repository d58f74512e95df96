package org.chivecross.cli.entry.http;

import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Body of a request on its way.
 *
 * <p>Up to a limit, bytes are kept, so that a small body can be sent again. A longer body is
 * streamed to one attempt and never kept whole. Guarded by the lock of the exchange.
 */
final class RequestBody {

  private final int limit;
  private final List<Buffer> retained = new ArrayList<>(1);
  private int retainedBytes;
  private long receivedBytes;
  private boolean complete;
  private boolean streaming;

  /** Creates an empty body of which at most about {@code limit} bytes are kept. */
  RequestBody(int limit) {
    this.limit = limit;
  }

  /** Adds what the caller sent; returns false when it must be streamed instead of kept. */
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

  /** Returns whether enough is known to start: the body is whole or too long to keep. */
  boolean isReadyToSend() {
    return complete || retainedBytes >= limit;
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

  /** Returns what was kept, as one buffer that the reader may consume. */
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

  /** Gives up on keeping the body; from here on it goes to one attempt only. */
  void startStreaming() {
    streaming = true;
    retained.clear();
    retainedBytes = 0;
  }
}
