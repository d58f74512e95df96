package org.chivecross.cli.load;

/**
 * A request with its planned start time. Immutable.
 *
 * @param id unique id of the operation; each attempt appends its number to it
 * @param kind kind of the request
 * @param caller number of the caller
 * @param workMicros service time at the target, in µs
 * @param intendedStartNanos monotonic time at which it should start, in ns
 * @param isMeasured whether its latency goes into the histogram
 */
record PlannedRequest(
    String id,
    RequestKind kind,
    int caller,
    long workMicros,
    long intendedStartNanos,
    boolean isMeasured) {

  /** Returns the request id that the given attempt sends; attempts count from 0. */
  String attemptId(int attempt) {
    return id + "." + attempt;
  }
}
