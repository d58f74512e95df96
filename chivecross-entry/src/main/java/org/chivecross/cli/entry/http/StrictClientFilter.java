package org.chivecross.cli.entry.http;

import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.ContentEncoding;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpPacketParsing;
import org.glassfish.grizzly.http.TransferEncoding;

/**
 * Response codec that refuses the heads that {@link ResponseHeadGuard} refuses and invalid chunks,
 * closes a connection on which data arrives without a request, marks responses that surplus bytes
 * follow, and leaves content codings unchanged. Safe for use by many threads.
 */
final class StrictClientFilter extends HttpClientFilter {

  private final UpstreamRegistry upstreams;
  private final HeadGuard guard = new ResponseHeadGuard();

  StrictClientFilter(int maxHeadBytes, UpstreamRegistry upstreams) {
    super(maxHeadBytes);
    this.upstreams = upstreams;
    StrictChunkedEncoding.install(this, maxHeadBytes);
    for (TransferEncoding encoding : getTransferEncodings()) {
      removeTransferEncoding(encoding);
      addTransferEncoding(new SurplusAwareEncoding(encoding));
    }
    for (ContentEncoding encoding : getContentEncodings()) {
      removeContentEncoding(encoding);
    }
  }

  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    if (upstreams.userOf(context.getConnection()).isEmpty()) {
      context.getConnection().terminateSilently();
      return context.getStopAction();
    }
    return super.handleRead(context);
  }

  @Override
  protected boolean decodeHttpPacket(
      FilterChainContext context, HttpPacketParsing parsing, Buffer input) {
    guard.check(input);
    return super.decodeHttpPacket(context, parsing, input);
  }

  @Override
  protected boolean onHttpHeaderParsed(
      HttpHeader header, Buffer buffer, FilterChainContext context) {
    boolean refused = super.onHttpHeaderParsed(header, buffer, context);
    if (!header.isExpectContent() && buffer.hasRemaining()) {
      SurplusAwareEncoding.mark(header);
    }
    return refused;
  }
}
