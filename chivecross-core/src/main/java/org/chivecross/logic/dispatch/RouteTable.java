package org.chivecross.logic.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;

/** Routes of a rule set, by host and longest path prefix. Immutable and thread-safe. */
public final class RouteTable {

  private final Map<String, List<RouteRule>> byHost;
  private final Map<String, Integer> maxConnections = new HashMap<>();
  private final long rulesVersion;

  /** Creates a table of the routes of a rule set. */
  public RouteTable(RuleSet rules) {
    Map<String, List<RouteRule>> hosts = new HashMap<>();
    for (RouteRule route : rules.routes()) {
      hosts.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    for (List<RouteRule> routes : hosts.values()) {
      routes.sort(Comparator.comparingInt((RouteRule route) -> route.prefix().length()).reversed());
    }
    byHost = Map.copyOf(hosts);
    rulesVersion = rules.version();
    rules
        .services()
        .forEach(service -> maxConnections.put(service.name(), service.maxConnections()));
  }

  /** Returns the version of the rule set. */
  long rulesVersion() {
    return rulesVersion;
  }

  /** Returns the connections that a target of a service accepts from all entries together. */
  int maxConnections(String service) {
    return maxConnections.getOrDefault(service, 0);
  }

  /**
   * Returns the route of a request.
   *
   * @param host host name in lower case, without port
   * @param path path without query
   */
  public Optional<RouteRule> find(String host, String path) {
    for (RouteRule route : byHost.getOrDefault(host, List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }
}
