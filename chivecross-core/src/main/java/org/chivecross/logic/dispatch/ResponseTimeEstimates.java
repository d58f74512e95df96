package org.chivecross.logic.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.ruleset.RouteRule;

/**
 * Usual time that targets need for the requests of a route, learned from answers of targets that
 * had room and were at usual speed when they were chosen. Not thread-safe.
 */
final class ResponseTimeEstimates {

  /** Part of the latency objective that is assumed before the first answer. */
  private static final double INITIAL_OBJECTIVE_FRACTION = 0.4;

  /** Weight of the newest answer; about the last ten answers count. */
  private static final double EWMA_GAIN = 0.1;

  private final Map<String, Double> millisByRoute = new HashMap<>();

  /** Returns the usual time, in ms. */
  double nominalMillis(RouteRule route) {
    Double known = millisByRoute.get(key(route));
    return known == null ? INITIAL_OBJECTIVE_FRACTION * route.latencyObjectiveMillis() : known;
  }

  /**
   * Takes an answer into account.
   *
   * @param elapsedNanos time from sending to the head of the answer
   */
  void recordAnswer(RouteRule route, long elapsedNanos) {
    double millis = elapsedNanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
    double before = nominalMillis(route);
    millisByRoute.put(key(route), before + EWMA_GAIN * (millis - before));
  }

  private static String key(RouteRule route) {
    return route.host() + route.prefix();
  }
}
