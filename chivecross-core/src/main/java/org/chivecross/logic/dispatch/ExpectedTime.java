package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;
import org.chivecross.model.registry.RegisteredTarget;

/**
 * Expected time until a target answers, from its last report and what this entry sent since. Not
 * thread-safe.
 */
final class ExpectedTime {

  /** Part of the slots from which some targets work slower. */
  private static final double NEARLY_FULL = 0.8;

  /** How many times longer work takes there, on average over targets of both kinds. */
  private static final double NEARLY_FULL_FACTOR = 1.4;

  /** How many times longer than usual a target works that has just started. */
  private static final double COLD_FACTOR = 2.0;

  /** Usual times that each remembered failure counts when targets are compared. */
  private static final double FAILURE_FACTOR = 1.5;

  /** Length of a phase of slowness; a report that is older says nothing of the present one. */
  private static final double PHASE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final double BYTES_PER_KILOBYTE = 1024;

  private final TargetBoard board;
  private final DispatchPreferences preferences;

  ExpectedTime(TargetBoard board, DispatchPreferences preferences) {
    this.board = board;
    this.preferences = preferences;
  }

  /**
   * Returns the expected time if the target answers, in ms.
   *
   * @param usualMillis time that the work takes at a target that has room, in ms
   * @param bodyBytes size of the request's body
   */
  double millis(int row, double usualMillis, long bodyBytes, long nowNanos) {
    int slots = board.slots(row);
    double before = board.running(row) + board.waiting(row);
    double pace = pace(row, nowNanos);
    if (!board.isWarm(row, nowNanos)) {
      pace = Math.max(pace, COLD_FACTOR);
    }
    double service = usualMillis * pace;
    if (isNearlyFull(row)) {
      service *= NEARLY_FULL_FACTOR;
    }
    double queue = Math.max(0, before + 1 - slots) / slots * service;
    return service + queue + crossing(row, bodyBytes);
  }

  /**
   * Returns the disadvantage of failures that were seen of late, in ms. Failures that all targets
   * share are no reason to prefer one to another.
   *
   * @param shared failures that each target of the service has at least
   */
  double failureMillis(int row, double usualMillis, double shared, long nowNanos) {
    return FAILURE_FACTOR * usualMillis * Math.max(0, board.failures(row, nowNanos) - shared);
  }

  /**
   * Returns how many times longer than usual work takes that begins now: what the last report tells
   * while it is young, what reports of the target told on average when it is old.
   */
  private double pace(int row, long nowNanos) {
    double age = board.reportAgeNanos(row, nowNanos) / PHASE_NANOS;
    double trust = Math.max(0, 1 - age);
    return trust * board.slowdown(row) + (1 - trust) * board.meanSlowdown(row);
  }

  /** Returns whether a target works at its usual speed, as far as its last report tells. */
  boolean isUsualPace(int row, long nowNanos) {
    return board.isWarm(row, nowNanos) && board.slowdown(row) <= 1 && !isNearlyFull(row);
  }

  private boolean isNearlyFull(int row) {
    return board.running(row) + board.waiting(row) + 1 > NEARLY_FULL * board.slots(row);
  }

  /** Returns the disadvantage of a target in another data centre, in ms. */
  double crossing(int row, long bodyBytes) {
    boolean near =
        board
            .target(row)
            .map(RegisteredTarget::dataCentre)
            .filter(preferences.dataCentre()::equals)
            .isPresent();
    if (near) {
      return 0;
    }
    return preferences.crossingMillis()
        + preferences.crossingMillisPerKilobyte() * bodyBytes / BYTES_PER_KILOBYTE;
  }
}
