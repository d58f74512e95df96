package org.chivecross.cli.load;

/**
 * One request to be sent.
 *
 * @param id unique id of the operation; each copy that is sent adds its number
 * @param kind kind of the request
 * @param caller number of the caller
 * @param workMicros service time at the target in µs
 * @param intendedStartNanos monotonic time at which it should start
 * @param isMeasured whether its latency counts
 */
record PlannedRequest(
    String id,
    RequestKind kind,
    int caller,
    long workMicros,
    long intendedStartNanos,
    boolean isMeasured) {

  /** Returns the identity of the copy that is sent as the given attempt, from 0. */
  String attemptId(int attempt) {
    return id + "." + attempt;
  }
}
