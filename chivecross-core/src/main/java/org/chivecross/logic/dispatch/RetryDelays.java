package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;
import org.chivecross.logic.admission.Admission;

/** Computes the retry delays of requests that are refused. Keeps no state. Not thread-safe. */
final class RetryDelays {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /**
   * Pressure from which the delay is long even if a target has a free slot: callers refused
   * together would return together, and all but one of them would find it taken.
   */
  private static final double FULL_PRESSURE = 0.9;

  private final DispatchTargetTable targets;
  private final TargetRanking ranking;
  private final RetryAdvice advice;
  private final Admission admission;

  RetryDelays(
      DispatchTargetTable targets, TargetRanking ranking, RetryAdvice advice, Admission admission) {
    this.targets = targets;
    this.ranking = ranking;
    this.advice = advice;
    this.admission = admission;
  }

  /**
   * Returns the delay for a request that a target refused, in ms: short while another target has a
   * free slot, otherwise the time in which about half of the backlog is served.
   */
  long afterRefusalMillis(PlacementTicket ticket, long nowNanos) {
    int[] rows = targets.availableRows(ticket.service(), nowNanos);
    if (rows.length == 0) {
      return afterHoldOffMillis(ticket, nowNanos);
    }
    double pressure = admission.pressure(ticket.service(), nowNanos);
    if (targets.hasFreeSlot(rows) && pressure < FULL_PRESSURE) {
      return advice.soonMillis();
    }
    int best = ranking.bestByRecentReports(ticket, rows, nowNanos);
    return underPressureMillis(ticket, ranking.expectedMillis(ticket, best, nowNanos), nowNanos);
  }

  /**
   * Returns the delay while the service is under pressure, in ms: the time in which about half of
   * the backlog is served, which grows with the pressure.
   *
   * @param bestMillis expected response time of the best target, in ms; any value when there is
   *     none
   */
  long underPressureMillis(PlacementTicket ticket, double bestMillis, long nowNanos) {
    double pressure = admission.pressure(ticket.service(), nowNanos);
    return advice.afterBacklogMillis(bestMillis * Math.max(1, pressure));
  }

  /** Returns the delay while all targets have asked for a hold-off, or there is none, in ms. */
  long afterHoldOffMillis(PlacementTicket ticket, long nowNanos) {
    int[] heldOff = targets.usableRows(ticket.service());
    if (heldOff.length == 0) {
      return advice.maxMillis();
    }
    long endNanos = targets.earliestHoldOffEndNanos(heldOff);
    return advice.afterHoldOffMillis((endNanos - nowNanos) / NANOS_PER_MILLI);
  }
}
