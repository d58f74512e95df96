package org.chivecross.cli.entry.http;

import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.jspecify.annotations.Nullable;

/**
 * Buffers the parts of a response until it is complete, so that a truncated response can be
 * replaced without a reset of the caller's connection. Guarded by the lock of the exchange.
 */
final class HeldResponse {

  /** Heap that a part takes besides its bytes; a target may send each byte in a part of its own. */
  private static final int PART_OVERHEAD_BYTES = 256;

  private final int limit;
  private final List<Buffer> parts = new ArrayList<>(2);
  private @Nullable HttpResponsePacket head;
  private int bytes;
  private boolean released;

  /** Creates an empty buffer; parts are kept only up to {@code limit} bytes of heap. */
  HeldResponse(int limit) {
    this.limit = limit;
  }

  /** Returns the head if the body ends with the connection; otherwise, or without a head, null. */
  @Nullable HttpResponsePacket untilClose() {
    HttpResponsePacket received = head;
    return received != null && isUntilClose(received) ? received : null;
  }

  /** Returns whether the body of a response ends with the close of its connection. */
  static boolean isUntilClose(HttpResponsePacket head) {
    return !head.isChunked() && head.getContentLength() < 0;
  }

  /** Returns about the heap that a part takes, in bytes. */
  static int heapBytes(Buffer part) {
    return PART_OVERHEAD_BYTES + part.remaining();
  }

  /** Adds a part; returns whether the parts so far may be sent to the caller. */
  boolean take(HttpContent content) {
    head = (HttpResponsePacket) content.getHttpHeader();
    Buffer buffer = content.getContent();
    if (buffer.hasRemaining()) {
      parts.add(buffer);
      bytes += heapBytes(buffer);
    }
    released |= content.isLast() || bytes > limit;
    return released;
  }

  /** Removes and returns the parts that were kept. */
  List<Buffer> release() {
    List<Buffer> all = List.copyOf(parts);
    parts.clear();
    return all;
  }
}
