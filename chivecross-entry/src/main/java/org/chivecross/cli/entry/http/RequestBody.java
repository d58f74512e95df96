package org.chivecross.cli.entry.http;

import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;

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
   * Returns the kept parts, with positions of their own: reading them doesn't affect later calls.
   * Empty after {@link #startStreaming}.
   */
  List<Buffer> retainedParts() {
    return retained.stream().map(Buffer::duplicate).toList();
  }

  /**
   * Drops the kept parts; from now on, the body is streamed to one attempt. The caller fetches
   * {@link #retainedParts} before, to send it first.
   */
  void startStreaming() {
    streaming = true;
    dropRetained();
  }

  /** Drops the kept parts of a body that is not sent any more. */
  void dropRetained() {
    retained.clear();
    retainedBytes = 0;
  }

  /** Returns the length from which an incomplete body is streamed. */
  int retainLimitBytes() {
    return retainLimitBytes;
  }

  /** Returns the number of bytes that are kept. */
  int retainedBytes() {
    return retainedBytes;
  }
}
