package org.chivecross.logic.admission;

import org.chivecross.model.ruleset.RouteRule;

/**
 * What is known of a request that has no target yet. Immutable.
 *
 * @param route route of the request
 * @param service service that it goes to
 * @param workMillis expected response time of a free target at nominal speed, in ms
 * @param untilObjectiveMillis time left until the latency objective, in ms; negative after it
 * @param leftMillis time left until the deadline, in ms
 * @param totalMillis time from the arrival to the deadline, in ms
 */
public record RequestSituation(
    RouteRule route,
    String service,
    double workMillis,
    double untilObjectiveMillis,
    double leftMillis,
    double totalMillis) {

  /** Returns whether a free target at nominal speed would answer within the latency objective. */
  boolean canMeetObjective() {
    return workMillis <= untilObjectiveMillis;
  }
}
