package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;

/** Computes the retry delays of requests that are refused. Keeps no state. Not thread-safe. */
final class RetryDelays {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final DispatchTargetTable targets;
  private final TargetRanking ranking;
  private final RetryAdvice advice;

  RetryDelays(DispatchTargetTable targets, TargetRanking ranking, RetryAdvice advice) {
    this.targets = targets;
    this.ranking = ranking;
    this.advice = advice;
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
    if (targets.hasFreeSlot(rows)) {
      return advice.soonMillis();
    }
    int best = ranking.bestByRecentReports(ticket, rows, nowNanos);
    return advice.afterBacklogMillis(ranking.expectedMillis(ticket, best, nowNanos));
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
