package org.chivecross.logic.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.WeightedService;

/**
 * Distributes the requests of a route over its services by smooth weighted round robin, which keeps
 * even short sequences close to the weights. Not thread-safe.
 *
 * <p>Invariant: the credits of one route add up to 0 between calls.
 */
final class ServiceRoundRobin {

  private final Map<String, double[]> creditsByRoute = new HashMap<>();

  /** Resets the credits of all routes, whose weights may have changed. */
  void reset() {
    creditsByRoute.clear();
  }

  /**
   * Returns the service of the next request.
   *
   * @param start initial position of a route without credits, from 0 (inclusive) to 1 (exclusive);
   *     random, so that the entries don't all start with the same service
   */
  String next(RouteRule route, double start) {
    List<WeightedService> services = route.services();
    if (services.size() == 1) {
      return services.get(0).service();
    }
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    String key = route.host() + route.prefix();
    double[] credits = creditsByRoute.computeIfAbsent(key, k -> startCredits(services, start));
    int best = 0;
    for (int i = 0; i < credits.length; i++) {
      credits[i] += services.get(i).weight();
      if (credits[i] > credits[best]) {
        best = i;
      }
    }
    credits[best] -= total;
    return services.get(best).service();
  }

  /** Returns the service that {@link #next} would return, without taking the turn. */
  String peek(RouteRule route) {
    List<WeightedService> services = route.services();
    double[] credits =
        creditsByRoute.getOrDefault(route.host() + route.prefix(), new double[services.size()]);
    int best = 0;
    for (int i = 1; i < services.size(); i++) {
      if (credits[i] + services.get(i).weight() > credits[best] + services.get(best).weight()) {
        best = i;
      }
    }
    return services.get(best).service();
  }

  private static double[] startCredits(List<WeightedService> services, double start) {
    double[] credits = new double[services.size()];
    double sum = 0;
    for (int i = 0; i < credits.length - 1; i++) {
      credits[i] = (start - 0.5) * services.get(i).weight();
      sum += credits[i];
    }
    credits[credits.length - 1] = -sum;
    return credits;
  }
}
