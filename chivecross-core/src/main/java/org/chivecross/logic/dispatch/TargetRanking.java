package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Compares the targets of a service for one request, by what they reported and what this entry saw
 * of them. Keeps no state. Not thread-safe.
 */
final class TargetRanking {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** Age up to which a report tells something of the queue of a target: some usual times. */
  private static final long RECENT_REPORT_NANOS = 300 * NANOS_PER_MILLI;

  /** Age up to which a bad report keeps a target from being asked before others. */
  private static final long BAD_REPORT_NANOS = 120 * NANOS_PER_MILLI;

  /** Disadvantage of such a target when it is chosen whom to ask, as that of a far one. */
  private static final double BAD_REPORT_PENALTY = 1.0;

  /** Expected time, relative to the usual time, up to which a target is taken without comparing. */
  private static final double GOOD_ENOUGH_FACTOR = 1.4;

  /** Disadvantage of each remembered failure when it is chosen whom to ask. */
  private static final double FAILURE_PENALTY = 2.0;

  private final DispatchTargetTable targets;
  private final ExpectedResponseTime expectedTimes;
  private final ResponseTimeEstimates responseTimes;
  private final DispatchPreferences preferences;
  private final RandomGenerator random;

  TargetRanking(
      DispatchTargetTable board,
      ExpectedResponseTime expected,
      ResponseTimeEstimates work,
      DispatchPreferences preferences,
      RandomGenerator random) {
    this.targets = board;
    this.expectedTimes = expected;
    this.responseTimes = work;
    this.preferences = preferences;
    this.random = random;
  }

  /** Returns the expected time of a target if it answers, in ms; very large for none. */
  double expectedMillis(PlacementTicket ticket, int row, long nowNanos) {
    if (row == DispatchTargetTable.NONE) {
      return Double.MAX_VALUE;
    }
    double usual = responseTimes.nominalMillis(ticket.route());
    return expectedTimes.millis(row, usual, ticket.bodyBytes(), nowNanos);
  }

  /** Returns whether a target is taken without comparing it with more others. */
  boolean isGoodEnough(PlacementTicket ticket, int row, int[] rows, long nowNanos) {
    double shared = targets.minFailures(rows, nowNanos);
    double usual = responseTimes.nominalMillis(ticket.route());
    return rankingMillis(ticket, row, shared, nowNanos) <= usual * GOOD_ENOUGH_FACTOR;
  }

  /**
   * Returns the best target by reports of the last phases, which may promise more than a young one
   * that tells of slowness; without any, by whatever is known.
   */
  int bestByRecentReports(PlacementTicket ticket, int[] rows, long nowNanos) {
    int best = best(ticket, rows, RECENT_REPORT_NANOS, nowNanos);
    return best == DispatchTargetTable.NONE ? best(ticket, rows, Long.MAX_VALUE, nowNanos) : best;
  }

  /** Returns the best target whose report is not older than {@code maxAgeNanos}. */
  int best(PlacementTicket ticket, int[] rows, long maxAgeNanos, long nowNanos) {
    int best = DispatchTargetTable.NONE;
    double least = Double.MAX_VALUE;
    double shared = targets.minFailures(rows, nowNanos);
    for (int row : rows) {
      if (ticket.isTried(row) || !targets.hasReportWithin(row, maxAgeNanos, nowNanos)) {
        continue;
      }
      double millis = rankingMillis(ticket, row, shared, nowNanos);
      if (millis < least) {
        least = millis;
        best = row;
      }
    }
    return best;
  }

  /** Returns the target to ask next: near ones without failures first, else at random. */
  int nextToProbe(PlacementTicket ticket, int[] rows, long nowNanos) {
    int next = DispatchTargetTable.NONE;
    double least = Double.MAX_VALUE;
    double usual = responseTimes.nominalMillis(ticket.route());
    for (int row : rows) {
      if (ticket.isTried(row) || ticket.isProbed(row)) {
        continue;
      }
      boolean badBefore =
          targets.hasReportWithin(row, BAD_REPORT_NANOS, nowNanos)
              && expectedMillis(ticket, row, nowNanos) > usual * GOOD_ENOUGH_FACTOR;
      double order =
          random.nextDouble()
              + expectedTimes.crossDataCentreMillis(row, ticket.bodyBytes()) / preferences.crossDataCentreMillis()
              + FAILURE_PENALTY * targets.failures(row, nowNanos)
              + (badBefore ? BAD_REPORT_PENALTY : 0);
      if (order < least) {
        least = order;
        next = row;
      }
    }
    return next;
  }

  /** Returns the expected time of a target with the disadvantage of its failures, in ms. */
  private double rankingMillis(PlacementTicket ticket, int row, double shared, long nowNanos) {
    if (row == DispatchTargetTable.NONE) {
      return Double.MAX_VALUE;
    }
    double usual = responseTimes.nominalMillis(ticket.route());
    return expectedTimes.millis(row, usual, ticket.bodyBytes(), nowNanos)
        + expectedTimes.failurePenaltyMillis(row, usual, shared, nowNanos);
  }
}
