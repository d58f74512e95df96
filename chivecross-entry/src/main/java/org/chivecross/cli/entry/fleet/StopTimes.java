package org.chivecross.cli.entry.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Times of a planned stop, as monotonic nanoseconds. Invariant: they are not before the stop was
 * requested, and {@code latestEndNanos} is the last one. Immutable and safe for use by many
 * threads.
 *
 * @param acceptUntilNanos half of the stop at most, so that requests sent before have at least the
 *     other half to end; from then on only those whose own deadline ends in time are sent
 * @param lastResponseNanos time by which all responses must be complete
 * @param earliestEndNanos earliest end, as callers may still use the address of this entry
 * @param latestEndNanos latest end, also with requests in flight
 */
record StopTimes(
    long acceptUntilNanos, long lastResponseNanos, long earliestEndNanos, long latestEndNanos) {

  /** Minimum time for which a leaving entry serves callers that still use its address. */
  private static final long MIN_DRAIN_MILLIS = 4_500;

  /**
   * Time after the signal until which a request may be sent that may outlast the stop, however long
   * that is; a cut of a later one counts as lost.
   */
  private static final long MAX_ACCEPT_MILLIS = 3_000;

  /** Margin between the end of the process and the time at which the platform kills it. */
  private static final long KILL_MARGIN_MILLIS = 700;

  /** Time before the end of the process in which the last responses are written. */
  private static final long LAST_RESPONSE_MILLIS = 100;

  /**
   * Returns the times of a stop.
   *
   * @param graceMillis time after which the platform kills the process, in ms
   * @param requestedNanos monotonic time at which the stop was requested
   */
  static StopTimes of(long graceMillis, long requestedNanos) {
    long maxDrainMillis = Math.max(0, graceMillis - KILL_MARGIN_MILLIS);
    long lastResponseMillis = Math.max(0, maxDrainMillis - LAST_RESPONSE_MILLIS);
    return new StopTimes(
        requestedNanos
            + TimeUnit.MILLISECONDS.toNanos(Math.min(MAX_ACCEPT_MILLIS, maxDrainMillis / 2)),
        requestedNanos + TimeUnit.MILLISECONDS.toNanos(lastResponseMillis),
        requestedNanos + TimeUnit.MILLISECONDS.toNanos(Math.min(MIN_DRAIN_MILLIS, maxDrainMillis)),
        requestedNanos + TimeUnit.MILLISECONDS.toNanos(maxDrainMillis));
  }
}
