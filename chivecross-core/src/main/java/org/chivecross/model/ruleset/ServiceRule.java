package org.chivecross.model.ruleset;

/**
 * Settings of all targets of one service. Immutable.
 *
 * @param name name of the service
 * @param healthPath path on which a target reports its health and load
 * @param maxConnections maximum number of connections that one target accepts in total
 * @param warmUpMillis time for which a target is slow after its start, in ms
 * @param warmUpRequestsPerSecond requests per second that a target takes from all entries together
 *     while it warms up; 0 if that is not limited
 */
public record ServiceRule(
    String name,
    String healthPath,
    int maxConnections,
    long warmUpMillis,
    double warmUpRequestsPerSecond) {

  /** Creates the settings of a service whose targets take any number of requests at once. */
  public ServiceRule(String name, String healthPath, int maxConnections) {
    this(name, healthPath, maxConnections, 0, 0);
  }
}
