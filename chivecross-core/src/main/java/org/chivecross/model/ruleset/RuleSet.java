package org.chivecross.model.ruleset;

import java.util.List;

/**
 * One version of the operator's configuration. Immutable.
 *
 * @param version version number; increases with each configuration
 * @param routes all routes
 * @param services all services
 * @param limits limits on what callers send
 */
public record RuleSet(
    long version, List<RouteRule> routes, List<ServiceRule> services, CallerLimits limits) {

  public RuleSet {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
  }
}
