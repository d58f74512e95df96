package org.chivecross.logic.routing;

import java.util.Optional;

/** Finds the service and the class of a request. Implementations are thread-safe. */
@FunctionalInterface
public interface RequestRouter {

  /**
   * Finds the route of a request.
   *
   * @param method HTTP method in upper case
   * @param host host name without port, in lower case
   * @param path path without query
   * @return empty when no rule matches
   */
  Optional<Route> route(String method, String host, String path);
}
