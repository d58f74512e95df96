package org.chivecross.logic.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.ruleset.RouteRule;

/**
 * Fraction of requests that were served, for each service and route, as this entry sees it. Older
 * requests count less. Not thread-safe.
 */
final class RouteOutcomes {

  /** Half-life of a request in the counts; at 2.5 requests per second about 70 count. */
  private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Weight from which the fraction of a route is used; a few requests say little. */
  private static final double MIN_WEIGHT = 8;

  /** Decayed counts of requests. */
  private static final class Counts {
    private double served;
    private double ended;
    private long atNanos;

    void add(boolean isServed, long nowNanos) {
      double factor = Math.pow(0.5, (nowNanos - atNanos) / HALF_LIFE_NANOS);
      served = served * factor + (isServed ? 1 : 0);
      ended = ended * factor + 1;
      atNanos = nowNanos;
    }

    double fraction() {
      return served / ended;
    }
  }

  private final Map<String, Counts> byService = new HashMap<>();
  private final Map<String, Counts> byRoute = new HashMap<>();

  void ended(RouteRule route, String service, boolean served, long nowNanos) {
    byService.computeIfAbsent(service, name -> new Counts()).add(served, nowNanos);
    byRoute.computeIfAbsent(key(route, service), name -> new Counts()).add(served, nowNanos);
  }

  /** Forgets routes, which may have changed. */
  void clear() {
    byService.clear();
    byRoute.clear();
  }

  /** Returns whether a route's served fraction is below a part of that over all routes. */
  boolean isBelow(double part, RouteRule route, String service) {
    Counts all = byService.get(service);
    Counts own = byRoute.get(key(route, service));
    return all != null
        && own != null
        && own.ended >= MIN_WEIGHT
        && own.fraction() < part * all.fraction();
  }

  /** Returns whether a route is served more often than another one, by more than a margin. */
  boolean isAhead(RouteRule route, RouteRule other, String service, double margin) {
    Counts own = byRoute.get(key(route, service));
    Counts others = byRoute.get(key(other, service));
    return own != null
        && others != null
        && own.ended >= MIN_WEIGHT
        && others.ended >= MIN_WEIGHT
        && own.fraction() > others.fraction() + margin;
  }

  private static String key(RouteRule route, String service) {
    return route.host() + route.prefix() + ' ' + service;
  }
}
