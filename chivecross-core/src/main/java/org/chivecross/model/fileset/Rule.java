package org.chivecross.model.fileset;

import java.util.Set;

/**
 * Routing rule that maps requests to a service and a request class.
 *
 * @param host host name, or {@code *} for any
 * @param pathPrefix prefix of the path that consists of complete segments
 * @param methods HTTP methods in upper case
 * @param service name of the service
 * @param requestClass class of the requests
 */
public record Rule(
    String host,
    String pathPrefix,
    Set<String> methods,
    String service,
    RequestClass requestClass) {
  public Rule {
    methods = Set.copyOf(methods);
  }
}
