package org.chivecross.cli.entry.http;

import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.jspecify.annotations.Nullable;

/**
 * Parts of a response that are kept until it is whole, so that one that breaks off can be replaced
 * and the caller's connection survives. Guarded by the lock of the exchange.
 */
final class HeldResponse {

  private final int limit;
  private final List<Buffer> parts = new ArrayList<>(2);
  private @Nullable HttpResponsePacket head;
  private int bytes;
  private boolean released;

  /**
   * Creates an empty one; responses of more than {@code limit} bytes are passed on as they come.
   */
  HeldResponse(int limit) {
    this.limit = limit;
  }

  /** Returns the head of a response whose body ends with its connection; null for others. */
  @Nullable HttpResponsePacket untilClose() {
    HttpResponsePacket known = head;
    return known != null && isUntilClose(known) ? known : null;
  }

  /** Returns whether the body of a response ends with its connection. */
  static boolean isUntilClose(HttpResponsePacket head) {
    return !head.isChunked() && head.getContentLength() < 0;
  }

  /** Takes a part; returns whether all parts so far may go on to the caller. */
  boolean take(HttpContent content) {
    head = (HttpResponsePacket) content.getHttpHeader();
    Buffer buffer = content.getContent();
    if (buffer.hasRemaining()) {
      parts.add(buffer);
      bytes += buffer.remaining();
    }
    released |= content.isLast() || bytes > limit;
    return released;
  }

  /** Returns the parts that were kept, and forgets them. */
  List<Buffer> release() {
    List<Buffer> all = List.copyOf(parts);
    parts.clear();
    return all;
  }
}
