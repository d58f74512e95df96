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
 * Routes by host, longest path prefix and method. A rule for the host goes before one for any host.
 * A prefix ends at a segment border: {@code /a} matches {@code /a} and {@code /a/b}, not {@code
 * /ab}. Immutable and safe for use by many threads.
 */
public final class RuleRouter implements RequestRouter {

  private static final String ANY_HOST = "*";

  private final Map<String, List<Branch>> byHost;
  private final List<Branch> anyHost;

  /**
   * A rule with its answer.
   *
   * @param prefix path prefix without a slash at its end
   * @param methods methods in upper case
   * @param route answer
   */
  private record Branch(String prefix, Set<String> methods, Optional<Route> route) {

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
   * @param serviceRow finds the row of a service by its name
   */
  public RuleRouter(FileSet set, ToIntFunction<String> serviceRow) {
    Map<String, Service> services = new HashMap<>();
    for (Service service : set.services()) {
      services.put(service.name(), service);
    }
    Map<String, List<Branch>> hosts = new HashMap<>();
    for (Rule rule : set.rules()) {
      Service service = services.get(rule.service());
      ClassPolicy policy = service == null ? null : service.classes().get(rule.requestClass());
      if (policy == null) {
        continue;
      }
      int row = serviceRow.applyAsInt(rule.service());
      Route route = new Route(row, rule.requestClass(), policy.deadlineMillis());
      Branch branch = new Branch(trim(rule.pathPrefix()), rule.methods(), Optional.of(route));
      hosts.computeIfAbsent(rule.host(), host -> new ArrayList<>()).add(branch);
    }
    for (List<Branch> branches : hosts.values()) {
      branches.sort(
          Comparator.comparingInt((Branch branch) -> branch.prefix().length()).reversed());
    }
    byHost = Map.copyOf(hosts);
    anyHost = byHost.getOrDefault(ANY_HOST, List.of());
  }

  @Override
  public Optional<Route> route(String method, String host, String path) {
    Optional<Route> route = find(byHost.getOrDefault(host, List.of()), method, path);
    return route.isPresent() ? route : find(anyHost, method, path);
  }

  private static Optional<Route> find(List<Branch> branches, String method, String path) {
    for (int i = 0; i < branches.size(); i++) {
      Branch branch = branches.get(i);
      if (branch.matches(method, path)) {
        return branch.route();
      }
    }
    return Optional.empty();
  }

  private static String trim(String prefix) {
    return prefix.endsWith("/") ? prefix.substring(0, prefix.length() - 1) : prefix;
  }
}
