package org.chivecross.cli.entry.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.ParsingResult;
import org.glassfish.grizzly.http.TransferEncoding;

/**
 * Transfer encoding that marks a message if surplus bytes follow it, so that its connection is not
 * reused. Safe for use by many threads.
 */
final class SurplusAwareEncoding implements TransferEncoding {

  private static final String SURPLUS = "chivecross.surplus";

  private final TransferEncoding inner;

  SurplusAwareEncoding(TransferEncoding inner) {
    this.inner = inner;
  }

  /** Marks that surplus bytes follow the message. */
  static void mark(HttpHeader header) {
    header.getAttributes().setAttribute(SURPLUS, Boolean.TRUE);
  }

  /** Returns whether bytes were read beyond the end of the message. */
  static boolean isMarked(HttpHeader header) {
    return header.getAttributes().getAttribute(SURPLUS) != null;
  }

  @Override
  public boolean wantDecode(HttpHeader header) {
    return inner.wantDecode(header);
  }

  @Override
  public boolean wantEncode(HttpHeader header) {
    return inner.wantEncode(header);
  }

  @Override
  public void prepareSerialize(FilterChainContext context, HttpHeader header, HttpContent content) {
    inner.prepareSerialize(context, header, content);
  }

  @Override
  public Buffer serializePacket(FilterChainContext context, HttpContent content) {
    return inner.serializePacket(context, content);
  }

  @Override
  public ParsingResult parsePacket(FilterChainContext context, HttpHeader header, Buffer buffer) {
    ParsingResult result = inner.parsePacket(context, header, buffer);
    HttpContent content = result.getHttpContent();
    Buffer rest = result.getRemainderBuffer();
    if (content != null && content.isLast() && rest != null && rest.hasRemaining()) {
      mark(header);
    }
    return result;
  }
}
