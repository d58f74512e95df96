package org.chivecross.cli.entry.http;

import java.util.OptionalLong;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.request.Outcome;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.ContentEncoding;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpPacketParsing;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Request codec that refuses the heads that {@link RequestHeadGuard} refuses, answers them with the
 * error response of the dialect, and leaves content codings unchanged. Safe for use by many
 * threads.
 */
final class StrictServerFilter extends HttpServerFilter {

  private static final int UNLIMITED = -1;
  private static final int BAD_REQUEST = 400;
  private static final String REFUSAL = "chivecross.refusal";
  private static final String KEPT_OPEN = "chivecross.keptOpen";

  private final HeadGuard guard;
  private final CallerRegistry callers;
  private final ExchangeObserver observer;
  private final RequestDialect dialect;

  StrictServerFilter(
      DataPathSettings settings,
      CallerRegistry callers,
      ExchangeObserver observer,
      RequestDialect dialect) {
    super(
        true,
        2 * settings.maxHeadBytes(),
        null,
        keepAlive(),
        null,
        2 * settings.maxHeaders(),
        2 * settings.maxHeaders());
    this.callers = callers;
    this.observer = observer;
    this.dialect = dialect;
    guard = new RequestHeadGuard(settings);
    StrictChunkedEncoding.install(this, settings.maxHeadBytes());
    setAllowPayloadForUndefinedHttpMethods(true);
    for (ContentEncoding encoding : getContentEncodings()) {
      removeContentEncoding(encoding);
    }
  }

  @Override
  protected boolean decodeHttpPacket(
      FilterChainContext context, HttpPacketParsing parsing, Buffer input) {
    try {
      if (!guard.check(input)) {
        callers.of(context.getConnection()).ifPresent(c -> c.headIncomplete(System.nanoTime()));
      }
    } catch (HeadRefusal refusal) {
      ((HttpRequestPacket) parsing).setAttribute(REFUSAL, refusal);
      throw refusal;
    }
    boolean complete = super.decodeHttpPacket(context, parsing, input);
    if (complete) {
      // Upgrades are not supported; the header must not disable the framing of this request.
      ((HttpHeader) parsing).getUpgradeDC().recycle();
    }
    return complete;
  }

  /** Keeps the connection of a request open after its response, whatever its status. */
  static void keepOpen(HttpRequestPacket request) {
    request.setAttribute(KEPT_OPEN, Boolean.TRUE);
  }

  /**
   * Takes back the close that the library announces after some statuses: requests behind the
   * response may be running, and the exchange has decided about the connection.
   */
  @Override
  protected void onInitialLineEncoded(HttpHeader header, FilterChainContext context) {
    super.onInitialLineEncoded(header, context);
    HttpRequestPacket request = ((HttpResponsePacket) header).getRequest();
    if (request.getAttribute(KEPT_OPEN) != null) {
      header.getHeaders().removeHeader("Connection");
      request.getProcessingState().setKeepAlive(true);
    }
  }

  /** Leaves the response to the exchange, which has recorded whether an attempt was sent. */
  @Override
  protected void onHttpContentError(
      HttpHeader header, FilterChainContext context, Throwable cause) {
    header.setContentBroken(true);
  }

  @Override
  protected HttpContent customizeErrorResponse(HttpResponsePacket response) {
    HeadRefusal refusal = (HeadRefusal) response.getRequest().getAttribute(REFUSAL);
    int status = refusal == null ? Math.max(BAD_REQUEST, response.getStatus()) : refusal.status();
    String detail = refusal == null ? "malformed request" : String.valueOf(refusal.getMessage());
    observer.headRefused(status);
    String peer = RequestHeads.callerAddress(response.getRequest().getConnection());
    LocalResponse answer =
        dialect.answer(
            status, Outcome.NOT_RUN, new Failure(Step.ACCEPT, peer, detail), OptionalLong.empty());
    byte[] body = answer.body();
    response.setStatus(status);
    answer.headers().forEach(response::setHeader);
    response.setHeader("Connection", "close");
    response.setContentType(answer.contentType());
    response.setContentLengthLong(body.length);
    Buffer content = Buffers.wrap(response.getRequest().getConnection().getMemoryManager(), body);
    return response.httpContentBuilder().content(content).last(true).build();
  }

  private static KeepAlive keepAlive() {
    KeepAlive keepAlive = new KeepAlive();
    keepAlive.setIdleTimeoutInSeconds(UNLIMITED);
    keepAlive.setMaxRequestsCount(UNLIMITED);
    return keepAlive;
  }
}
