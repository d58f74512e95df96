package org.chivecross.cli.entry.admin;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/** Grizzly handler that delegates to {@link AdminRoutes}. Thread-safe. */
final class AdminHandler extends HttpHandler {

  private static final int BAD_REQUEST = 400;

  private final AdminRoutes routes;

  AdminHandler(AdminRoutes routes) {
    this.routes = routes;
  }

  @Override
  public void service(Request request, Response response) throws IOException {
    AdminAnswer answer = answer(request);
    response.setStatus(answer.status());
    response.setContentType(answer.contentType());
    response.setContentLength(answer.body().length);
    response.setHeader("Cache-Control", "no-store");
    response.setHeader("X-Content-Type-Options", "nosniff");
    if (answer.status() == 401) {
      response.setHeader("WWW-Authenticate", "Bearer");
    }
    if (answer.status() == 405) {
      response.setHeader("Allow", "GET, HEAD");
    }
    response.getNIOOutputStream().write(answer.body());
  }

  private AdminAnswer answer(Request request) {
    String method = request.getMethod().getMethodString();
    String authorization = request.getHeader("Authorization");
    Map<String, List<String>> query = new HashMap<>();
    try {
      for (String name : request.getParameterNames()) {
        query.put(name, List.of(request.getParameterValues(name)));
      }
      return routes.answer(
          new AdminRequest(
              method,
              request.getDecodedRequestURI(),
              query,
              authorization == null ? "" : authorization));
    } catch (IOException | IllegalArgumentException | IllegalStateException e) {
      return new AdminAnswer(BAD_REQUEST, "text/plain", new byte[0]);
    }
  }
}
