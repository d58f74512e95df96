package org.chivecross.cli.entry.http;

import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.routing.RequestRouter;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.request.ForwardedBy;
import org.chivecross.model.request.RequestHead;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.jspecify.annotations.Nullable;

/** Translates request heads between callers, decisions and upstreams. Stateless. */
final class RequestHeads {

  private static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** Headers between entries that are not for targets. */
  private static final Set<String> ENTRY_HEADERS =
      Set.of(DataPath.RULES_VERSION, DataPath.EARLIER_ATTEMPTS);

  private RequestHeads() {}

  /**
   * Returns the parts of a request head that the decisions need.
   *
   * @param elapsedMillis time since the head arrived, in ms; deducted from the caller's deadline
   * @param body body as far as it has arrived
   * @param forwarded whether another entry forwarded the request
   */
  static RequestHead toDecisionHead(
      HttpRequestPacket request,
      long elapsedMillis,
      BodyFlow body,
      RequestDialect dialect,
      boolean forwarded) {
    MimeHeaders headers = request.getHeaders();
    long bodyBytes = body.receivedBytes();
    Optional<Long> deadline =
        dialect.deadlineMillis(headers).map(millis -> Math.max(0, millis - elapsedMillis));
    return new RequestHead(
        HeaderText.of(request.getMethodDC()),
        host(request),
        request.getRequestURI(),
        deadline,
        dialect.depth(headers),
        idempotencyKey(request),
        hasBody(request),
        Math.max(bodyBytes, request.getContentLength()),
        dialect.requestId(headers).orElse(""),
        forwarded ? Optional.of(forwardedBy(headers)) : Optional.empty(),
        RequestFingerprint.of(request, body.retainedContent()));
  }

  private static ForwardedBy forwardedBy(MimeHeaders headers) {
    long version = parseLong(headers.getHeader(DataPath.RULES_VERSION)).orElse(0L);
    long attempts = parseLong(headers.getHeader(DataPath.EARLIER_ATTEMPTS)).orElse(0L);
    return new ForwardedBy(version, (int) Math.min(Integer.MAX_VALUE, attempts));
  }

  /** Returns the host of a request, in lower case and without port. */
  static String host(HttpRequestPacket request) {
    return hostWithoutPort(request.getHeaders().getHeader("host"));
  }

  /** Returns the route of a request, if it has one. */
  static Optional<Route> route(HttpRequestPacket request, RequestRouter router) {
    String method = HeaderText.of(request.getMethodDC());
    return router.route(method, host(request), request.getRequestURI());
  }

  /** Returns the idempotency key of a request. */
  static Optional<String> idempotencyKey(HttpRequestPacket request) {
    return Optional.ofNullable(request.getHeaders().getHeader(IDEMPOTENCY_KEY));
  }

  /** Returns the time left of a request, in ms, from its own deadline or that of its route. */
  static long remainingMillis(
      HttpRequestPacket request,
      Optional<Route> route,
      long arrivedNanos,
      long nowNanos,
      RequestDialect dialect) {
    long deadline =
        dialect
            .deadlineMillis(request.getHeaders())
            .orElse(route.map(Route::deadlineMillis).orElse(0L));
    return Math.max(0, deadline - TimeUnit.NANOSECONDS.toMillis(nowNanos - arrivedNanos));
  }

  /** Returns whether a body follows the head. */
  static boolean hasBody(HttpRequestPacket request) {
    return request.isChunked() || request.getContentLength() > 0;
  }

  /**
   * Fills the head that is sent to a target.
   *
   * @param packet empty packet
   * @param remainingMillis time left for the target, in ms
   * @param target name of the target that must serve the request; empty if it has none
   */
  static void fill(
      HttpRequestPacket packet,
      HttpRequestPacket request,
      Connection<?> caller,
      long remainingMillis,
      Optional<String> target,
      RequestDialect dialect) {
    MimeHeaders from = request.getHeaders();
    packet.setMethod(HeaderText.of(request.getMethodDC()));
    packet.setRequestURI(request.getRequestURI());
    packet.setProtocol(Protocol.HTTP_1_1);
    String query = request.getQueryString();
    if (query != null) {
      packet.setQueryString(query);
    }
    MimeHeaders to = packet.getHeaders();
    copyEndToEnd(from, to, dialect);
    dialect.addEntryHeaders(to, from, remainingMillis, target, callerAddress(caller));
    if (request.isChunked()) {
      packet.setChunked(true);
    } else if (request.getContentLength() >= 0) {
      packet.setContentLengthLong(request.getContentLength());
    }
  }

  /** Returns the IP address of the other end of a connection. */
  static String callerAddress(Connection<?> caller) {
    return caller.getPeerAddress() instanceof InetSocketAddress address
        ? address.getAddress().getHostAddress()
        : "unknown";
  }

  private static void copyEndToEnd(MimeHeaders from, MimeHeaders to, RequestDialect dialect) {
    Set<String> hop = HopHeaders.of(from);
    for (int i = 0; i < from.size(); i++) {
      String name = HeaderText.of(from.getName(i)).toLowerCase(Locale.ROOT);
      if (hop.contains(name) || dialect.isReplaced(name) || ENTRY_HEADERS.contains(name)) {
        continue;
      }
      to.addValue(name).setString(HeaderText.of(from.getValue(i)));
    }
  }

  private static String hostWithoutPort(@Nullable String host) {
    if (host == null) {
      return "";
    }
    int bracket = host.lastIndexOf(']');
    int colon = host.lastIndexOf(':');
    String bare = colon > bracket ? host.substring(0, colon) : host;
    return bare.toLowerCase(Locale.ROOT);
  }

  /** Returns the number in a header value, raised to at least 0; empty if there is none. */
  static Optional<Long> parseLong(@Nullable String text) {
    if (text == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(Math.max(0, Long.parseLong(text.strip())));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
