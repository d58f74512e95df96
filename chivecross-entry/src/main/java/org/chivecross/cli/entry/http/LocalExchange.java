package org.chivecross.cli.entry.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.chivecross.model.request.Outcome;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.jspecify.annotations.Nullable;

/** An exchange that a {@link LocalHandler} answers. All state is guarded by this object. */
final class LocalExchange implements CallerExchange {

  private final CallerConnection caller;
  private final HttpRequestPacket request;
  private final CallerResponse response;
  private final LocalHandler handler;
  private boolean over;
  private volatile boolean complete;

  LocalExchange(
      CallerConnection caller,
      HttpRequestPacket request,
      LocalHandler handler,
      RequestDialect dialect) {
    this.caller = caller;
    this.request = request;
    this.handler = handler;
    response = new CallerResponse(caller, this, dialect, () -> false);
  }

  @Override
  public HttpRequestPacket request() {
    return request;
  }

  @Override
  public boolean received(HttpContent content) {
    if (content.isLast()) {
      complete = true;
      handler.handle(toLocalRequest(), this::answer);
    }
    return true;
  }

  @Override
  public boolean isRequestComplete() {
    return complete;
  }

  @Override
  public boolean suspendReader(FilterChainContext context) {
    return false;
  }

  @Override
  public void bodyBroken() {
    response.closeAfterwards();
    answer(
        LocalResponse.text(400, Map.of(), "application/json", "{\"error\":\"malformed body\"}\n"));
  }

  @Override
  public void failedUnexpectedly() {
    answer(LocalResponse.text(500, Map.of(), "application/json", "{\"error\":\"unexpected\"}\n"));
  }

  @Override
  public synchronized void writeAllowed() {
    response.flush();
  }

  @Override
  public void callerClosed() {
    synchronized (this) {
      if (over) {
        return;
      }
      over = true;
    }
    end();
  }

  private void answer(LocalResponse answer) {
    synchronized (this) {
      if (over) {
        return;
      }
      over = true;
      response.answer(answer);
    }
    end();
  }

  private void end() {
    caller.resume(caller.end(this, Outcome.NOT_RUN, System.nanoTime()));
  }

  private LocalRequest toLocalRequest() {
    return new LocalRequest(
        request.getMethodDC().toString(),
        request.getRequestURI(),
        parseQuery(request.getQueryString()),
        RequestHeads.callerAddress(caller.connection()));
  }

  private static Map<String, String> parseQuery(@Nullable String query) {
    Map<String, String> parameters = new HashMap<>();
    if (query == null || query.isEmpty()) {
      return parameters;
    }
    for (String pair : query.split("&", -1)) {
      int equals = pair.indexOf('=');
      String name = equals < 0 ? pair : pair.substring(0, equals);
      String value = equals < 0 ? "" : pair.substring(equals + 1);
      parameters.putIfAbsent(decode(name), decode(value));
    }
    return parameters;
  }

  private static String decode(String text) {
    try {
      return URLDecoder.decode(text, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return text;
    }
  }
}
