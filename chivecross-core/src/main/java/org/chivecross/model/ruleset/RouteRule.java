package org.chivecross.model.ruleset;

import java.util.List;
import org.chivecross.model.fileset.RequestClass;

/**
 * Rule for requests with one host and path prefix. Immutable.
 *
 * @param name name of the route in logs and metrics
 * @param host host name in lower case, without port
 * @param prefix path prefix, with a slash at both ends
 * @param services services that share the requests; never empty
 * @param requestClass whether a request may run more than once, and how its body is treated
 * @param timeoutMillis maximum time that a request is kept waiting, in ms
 * @param latencyObjectiveMillis time within which the caller should get the answer, in ms
 * @param maxAttempts maximum number of targets that one request is sent to; at least 1
 * @param priority priority for load shedding; 0 is the most urgent
 * @param homeRegions regions whose targets may run the requests; empty if any may
 */
public record RouteRule(
    String name,
    String host,
    String prefix,
    List<WeightedService> services,
    RequestClass requestClass,
    long timeoutMillis,
    long latencyObjectiveMillis,
    int maxAttempts,
    int priority,
    List<String> homeRegions) {

  public RouteRule {
    services = List.copyOf(services);
    homeRegions = List.copyOf(homeRegions);
  }

  /** Creates a rule whose requests may run in any region. */
  public RouteRule(
      String name,
      String host,
      String prefix,
      List<WeightedService> services,
      RequestClass requestClass,
      long timeoutMillis,
      long latencyObjectiveMillis,
      int maxAttempts,
      int priority) {
    this(
        name,
        host,
        prefix,
        services,
        requestClass,
        timeoutMillis,
        latencyObjectiveMillis,
        maxAttempts,
        priority,
        List.of());
  }

  /** Returns whether a request may run more than once. */
  public boolean isIdempotent() {
    return requestClass == RequestClass.READ;
  }
}
