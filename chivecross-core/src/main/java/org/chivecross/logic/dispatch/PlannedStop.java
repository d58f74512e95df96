package org.chivecross.logic.dispatch;

import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;

/**
 * The planned stop of this entry, if there is one, and which requests may still be sent before it.
 * What is sent must be able to end before the entry does, since a request that is cut has an
 * unknown outcome, whereas a refused one can be sent to another entry at once.
 *
 * <p>Invariant: a request whose own deadline ends before the stop may always be sent; any other one
 * only until a fixed time. Not thread-safe.
 */
public final class PlannedStop {

  /** The longest response time observed is exceeded at times; a cut write can't be repeated. */
  private static final double NON_IDEMPOTENT_RESERVE_FACTOR = 2;

  private final ResponseTimeEstimates responseTimes;
  private final RetryAdvice advice;
  private long acceptUntilNanos = Long.MAX_VALUE;
  private long endNanos = Long.MAX_VALUE;

  PlannedStop(ResponseTimeEstimates responseTimes, RetryAdvice advice) {
    this.responseTimes = responseTimes;
    this.advice = advice;
  }

  /**
   * Plans the stop.
   *
   * @param acceptUntilNanos monotonic time from which a request is only sent if its own deadline
   *     ends before the stop
   * @param endNanos monotonic time by which all responses must be complete
   */
  public void plan(long acceptUntilNanos, long endNanos) {
    this.acceptUntilNanos = acceptUntilNanos;
    this.endNanos = endNanos;
  }

  /** Returns whether a request can be expected to end before the stop if it is sent now. */
  public boolean maySend(PlacementTicket ticket, long nowNanos) {
    if (endNanos == Long.MAX_VALUE || ticket.deadlineNanos() <= endNanos) {
      return true;
    }
    if (nowNanos >= acceptUntilNanos) {
      return false;
    }
    long longestNanos = responseTimes.longestNanos(ticket.route());
    double factor = ticket.route().isIdempotent() ? 1 : NON_IDEMPOTENT_RESERVE_FACTOR;
    return nowNanos + factor * longestNanos <= endNanos;
  }

  /** Refuses a request that may not be sent; other entries serve it at once. */
  Placement refuse() {
    return new Placement.Refused(
        new Failure(
            Step.SELECT_TARGET, Failure.LOCAL, "this entry stops before the request can end"),
        advice.soonMillis());
  }
}
