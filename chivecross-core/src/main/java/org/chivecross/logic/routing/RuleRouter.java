package org.chivecross.logic.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Rule;
import org.chivecross.model.fileset.Service;

/**
 * Routes requests by host, longest path prefix and method. A rule for the host takes precedence
 * over a rule for any host. A prefix ends at a segment boundary: {@code /a} matches {@code /a} and
 * {@code /a/b}, not {@code /ab}. Immutable and thread-safe.
 */
public final class RuleRouter implements RequestRouter {

  private static final String ANY_HOST = "*";

  private final Map<String, List<CompiledRule>> byHost;
  private final List<CompiledRule> anyHost;

  /**
   * Rule with its route.
   *
   * @param prefix path prefix without a trailing slash
   * @param methods methods in upper case
   * @param route result for matching requests
   */
  private record CompiledRule(String prefix, Set<String> methods, Optional<Route> route) {

    boolean matches(String method, String path) {
      int length = prefix.length();
      if (!path.startsWith(prefix)) {
        return false;
      }
      if (path.length() > length && path.charAt(length) != '/') {
        return false;
      }
      return methods.contains(method);
    }
  }

  /**
   * Creates a router for a file set.
   *
   * @param serviceRow returns the row of a service by its name
   */
  public RuleRouter(FileSet set, ToIntFunction<String> serviceRow) {
    Map<String, Service> services = new HashMap<>();
    for (Service service : set.services()) {
      services.put(service.name(), service);
    }
    Map<String, List<CompiledRule>> hosts = new HashMap<>();
    for (Rule rule : set.rules()) {
      Service service = services.get(rule.service());
      ClassPolicy policy = service == null ? null : service.classes().get(rule.requestClass());
      if (policy == null) {
        continue;
      }
      int row = serviceRow.applyAsInt(rule.service());
      Route route = new Route(row, rule.requestClass(), policy.deadlineMillis());
      CompiledRule compiled =
          new CompiledRule(
              withoutTrailingSlash(rule.pathPrefix()), rule.methods(), Optional.of(route));
      hosts.computeIfAbsent(rule.host(), host -> new ArrayList<>()).add(compiled);
    }
    for (List<CompiledRule> rules : hosts.values()) {
      rules.sort(Comparator.comparingInt((CompiledRule rule) -> rule.prefix().length()).reversed());
    }
    byHost = Map.copyOf(hosts);
    anyHost = byHost.getOrDefault(ANY_HOST, List.of());
  }

  @Override
  public Optional<Route> route(String method, String host, String path) {
    Optional<Route> route = find(byHost.getOrDefault(host, List.of()), method, path);
    return route.isPresent() ? route : find(anyHost, method, path);
  }

  private static Optional<Route> find(List<CompiledRule> rules, String method, String path) {
    for (int i = 0; i < rules.size(); i++) {
      CompiledRule rule = rules.get(i);
      if (rule.matches(method, path)) {
        return rule.route();
      }
    }
    return Optional.empty();
  }

  private static String withoutTrailingSlash(String prefix) {
    return prefix.endsWith("/") ? prefix.substring(0, prefix.length() - 1) : prefix;
  }
}
