package org.chivecross.cli.entry.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.chivecross.cli.log.FailureLog;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;

/**
 * Routes of the read-only administration API: answers requests from views. An answer is complete
 * before its first byte is written. Thread-safe.
 */
final class AdminRoutes {

  private static final String HEALTH = "/health";
  private static final String READY = "/ready";
  private static final String METRICS = "/metrics";
  private static final String CONFIG = "/admin/v1/config";
  private static final String TARGETS = "/admin/v1/targets";
  private static final String MEMBERS = "/admin/v1/members";
  private static final String SERVICES = "/admin/v1/services";
  private static final String TENANTS = "/admin/v1/tenants";
  private static final String DECISIONS = "/admin/v1/decisions";
  private static final String KEYS = "/admin/v1/keys/";

  /** All paths of the API, with parameters in braces. */
  static final Set<String> PATHS =
      Set.of(
          HEALTH,
          READY,
          METRICS,
          CONFIG,
          TARGETS,
          MEMBERS,
          SERVICES,
          TENANTS,
          DECISIONS,
          KEYS + "{key}");

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final int MAX_KEY_LENGTH = 256;
  private static final String JSON = "application/json";
  private static final String PROBLEM = "application/problem+json";
  private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";
  private static final Set<String> METHODS = Set.of("GET", "HEAD");

  private final AdminSettings settings;
  private final AdminViews views;
  private final Map<String, Route> routes = new TreeMap<>();
  private final JsonMapper mapper = JsonMapper.builder().build();

  /** Handler of requests whose method and authorization have been checked. */
  @FunctionalInterface
  private interface Route {
    AdminAnswer answer(AdminRequest request) throws IOException;
  }

  AdminRoutes(AdminSettings settings, AdminViews views) {
    this.settings = settings;
    this.views = views;
    routes.put(HEALTH, request -> json(OK, new HealthStatus("up")));
    routes.put(READY, request -> readiness());
    routes.put(METRICS, request -> metrics());
    routes.put(CONFIG, request -> json(OK, views.config().get()));
    routes.put(TARGETS, request -> page(request, views.targets()));
    routes.put(MEMBERS, request -> page(request, views.members()));
    routes.put(SERVICES, request -> page(request, views.services()));
    routes.put(TENANTS, request -> page(request, views.tenants()));
    routes.put(DECISIONS, request -> page(request, views.decisions()));
  }

  /** Answers a request. */
  AdminAnswer answer(AdminRequest request) {
    if (!METHODS.contains(request.method())) {
      return problem(METHOD_NOT_ALLOWED, "Method Not Allowed", "allowed: GET, HEAD");
    }
    if (!isPublic(request.path()) && !settings.isAuthorized(request.authorization())) {
      return problem(UNAUTHORIZED, "Unauthorized", "allowed: the bearer token of this entry");
    }
    try {
      if (request.path().startsWith(KEYS)) {
        return key(request.path().substring(KEYS.length()));
      }
      Route route = routes.get(request.path());
      return route == null
          ? problem(NOT_FOUND, "Not Found", "no such path")
          : route.answer(request);
    } catch (IOException | RuntimeException e) {
      FailureLog.error(
          new Failure(
              Step.ADMINISTRATION,
              Failure.LOCAL,
              "view failed; answering with an internal server error to " + request.path()),
          e);
      return problem(SERVER_ERROR, "Internal Server Error", "the view could not be read");
    }
  }

  /** Returns whether a path needs no token: load balancers and supervisors poll these. */
  private static boolean isPublic(String path) {
    return path.equals(HEALTH) || path.equals(READY);
  }

  private AdminAnswer readiness() {
    ReadinessStatus status = views.readiness().get();
    return json(status.ready() ? OK : UNAVAILABLE, status);
  }

  private AdminAnswer metrics() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    views.metrics().write(out);
    return new AdminAnswer(OK, PROMETHEUS_TEXT, out.toByteArray());
  }

  private AdminAnswer page(AdminRequest request, Supplier<? extends List<? extends Record>> rows) {
    Result<PageRequest> page = PageRequest.of(request.query());
    if (page instanceof Result.Failed<PageRequest> failed) {
      return problem(BAD_REQUEST, "Bad Request", failed.failures().get(0).detail());
    }
    PageRequest requested = ((Result.Success<PageRequest>) page).value();
    return json(OK, AdminPage.of(rows.get(), requested));
  }

  private AdminAnswer key(String key) {
    if (key.isEmpty() || key.length() > MAX_KEY_LENGTH || !key.matches("[!-~]+")) {
      return problem(
          BAD_REQUEST,
          "Bad Request",
          "key: allowed: 1 to " + MAX_KEY_LENGTH + " printable ASCII characters without spaces");
    }
    return json(OK, views.key().apply(key));
  }

  private AdminAnswer json(int status, Object body) {
    return new AdminAnswer(status, JSON, encode(body));
  }

  private AdminAnswer problem(int status, String title, String detail) {
    return new AdminAnswer(status, PROBLEM, encode(AdminProblem.of(status, title, detail)));
  }

  private byte[] encode(Object body) {
    try {
      return mapper.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("body could not be written as JSON", e);
    }
  }

  /**
   * Answer to {@code /health}.
   *
   * @param status always {@code up}
   */
  record HealthStatus(String status) {}
}
