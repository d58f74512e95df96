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
  private static final long RECENT_NANOS = 300 * NANOS_PER_MILLI;

  /** Age up to which a bad report keeps a target from being asked before others. */
  private static final long REMEMBERED_NANOS = 120 * NANOS_PER_MILLI;

  /** Disadvantage of such a target when it is chosen whom to ask, as that of a far one. */
  private static final double REMEMBERED_COST = 1.0;

  /** Expected time, relative to the usual time, up to which a target is taken without comparing. */
  private static final double GOOD_ENOUGH = 1.4;

  /** Disadvantage of each remembered failure when it is chosen whom to ask. */
  private static final double FAILURE_COST = 2.0;

  private final TargetBoard board;
  private final ExpectedTime expected;
  private final WorkEstimates work;
  private final DispatchPreferences preferences;
  private final RandomGenerator random;

  TargetRanking(
      TargetBoard board,
      ExpectedTime expected,
      WorkEstimates work,
      DispatchPreferences preferences,
      RandomGenerator random) {
    this.board = board;
    this.expected = expected;
    this.work = work;
    this.preferences = preferences;
    this.random = random;
  }

  /** Returns the expected time of a target if it answers, in ms; very large for none. */
  double expectedMillis(PlacementTicket ticket, int row, long nowNanos) {
    if (row == TargetBoard.NONE) {
      return Double.MAX_VALUE;
    }
    double usual = work.usualMillis(ticket.route());
    return expected.millis(row, usual, ticket.bodyBytes(), nowNanos);
  }

  /** Returns whether a target is taken without comparing it with more others. */
  boolean isGoodEnough(PlacementTicket ticket, int row, int[] rows, long nowNanos) {
    double shared = board.sharedFailures(rows, nowNanos);
    double usual = work.usualMillis(ticket.route());
    return rankingMillis(ticket, row, shared, nowNanos) <= usual * GOOD_ENOUGH;
  }

  /**
   * Returns the best target by reports of the last phases, which may promise more than a young one
   * that tells of slowness; without any, by whatever is known.
   */
  int bestOfRecent(PlacementTicket ticket, int[] rows, long nowNanos) {
    int best = best(ticket, rows, RECENT_NANOS, nowNanos);
    return best == TargetBoard.NONE ? best(ticket, rows, Long.MAX_VALUE, nowNanos) : best;
  }

  /** Returns the best target whose report is not older than {@code maxAgeNanos}. */
  int best(PlacementTicket ticket, int[] rows, long maxAgeNanos, long nowNanos) {
    int best = TargetBoard.NONE;
    double least = Double.MAX_VALUE;
    double shared = board.sharedFailures(rows, nowNanos);
    for (int row : rows) {
      if (ticket.isTried(row) || !board.isFresh(row, maxAgeNanos, nowNanos)) {
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
  int nextToAsk(PlacementTicket ticket, int[] rows, long nowNanos) {
    int next = TargetBoard.NONE;
    double least = Double.MAX_VALUE;
    double usual = work.usualMillis(ticket.route());
    for (int row : rows) {
      if (ticket.isTried(row) || ticket.isAsked(row)) {
        continue;
      }
      boolean badBefore =
          board.isFresh(row, REMEMBERED_NANOS, nowNanos)
              && expectedMillis(ticket, row, nowNanos) > usual * GOOD_ENOUGH;
      double order =
          random.nextDouble()
              + expected.crossing(row, ticket.bodyBytes()) / preferences.crossingMillis()
              + FAILURE_COST * board.failures(row, nowNanos)
              + (badBefore ? REMEMBERED_COST : 0);
      if (order < least) {
        least = order;
        next = row;
      }
    }
    return next;
  }

  /** Returns the expected time of a target with the disadvantage of its failures, in ms. */
  private double rankingMillis(PlacementTicket ticket, int row, double shared, long nowNanos) {
    if (row == TargetBoard.NONE) {
      return Double.MAX_VALUE;
    }
    double usual = work.usualMillis(ticket.route());
    return expected.millis(row, usual, ticket.bodyBytes(), nowNanos)
        + expected.failureMillis(row, usual, shared, nowNanos);
  }
}
