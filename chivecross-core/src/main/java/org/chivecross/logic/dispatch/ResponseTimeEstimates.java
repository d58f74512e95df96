package org.chivecross.logic.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.ruleset.RouteRule;

/**
 * Nominal response time of each route: an EWMA over answers of targets that had free slots and
 * worked at nominal speed when they were chosen; and the longest one over all targets. Not
 * thread-safe.
 */
final class ResponseTimeEstimates {

  /** Initial estimate before the first answer, as a fraction of the latency objective. */
  private static final double INITIAL_OBJECTIVE_FRACTION = 0.4;

  /** EWMA weight of the newest answer; about the last ten answers count. */
  private static final double EWMA_GAIN = 0.1;

  /** Factor by which each answer reduces the longest response time: old peaks are forgotten. */
  private static final double LONGEST_DECAY = 0.995;

  private final Map<String, Double> longestNanosByRoute = new HashMap<>();
  private final Map<String, Double> millisByRoute = new HashMap<>();
  private final Map<String, Double> bodyBytesByRoute = new HashMap<>();

  /** Returns the nominal response time of a route, in ms. */
  double nominalMillis(RouteRule route) {
    Double known = millisByRoute.get(key(route));
    return known == null ? INITIAL_OBJECTIVE_FRACTION * route.latencyObjectiveMillis() : known;
  }

  /**
   * Records an answer.
   *
   * @param elapsedNanos time from sending the request to receiving the head of the answer, in ns
   */
  void recordAnswer(RouteRule route, long elapsedNanos) {
    double millis = elapsedNanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
    double before = nominalMillis(route);
    millisByRoute.put(key(route), before + EWMA_GAIN * (millis - before));
  }

  /** Records the time that an answer of any target took; see {@link #longestNanos}. */
  void recordResponseTime(RouteRule route, long elapsedNanos) {
    longestNanosByRoute.merge(
        key(route),
        (double) elapsedNanos,
        (longest, elapsed) -> Math.max(LONGEST_DECAY * longest, elapsed));
  }

  /** Returns about the longest response time of the latest answers; 0 before the first one. */
  long longestNanos(RouteRule route) {
    return Math.round(longestNanosByRoute.getOrDefault(key(route), 0.0));
  }

  /** Returns the expected size of a response body of a route; 0 before the first response. */
  long bodyBytes(RouteRule route) {
    return Math.round(bodyBytesByRoute.getOrDefault(key(route), 0.0));
  }

  /** Records the size of a response body. */
  void recordBodyBytes(RouteRule route, long bytes) {
    bodyBytesByRoute.merge(
        key(route), (double) bytes, (mean, size) -> mean + EWMA_GAIN * (size - mean));
  }

  private static String key(RouteRule route) {
    return route.host() + route.prefix();
  }
}
