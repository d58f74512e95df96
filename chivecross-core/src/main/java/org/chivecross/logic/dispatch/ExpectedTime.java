package org.chivecross.logic.dispatch;

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

  /** Usual times that each remembered failure adds. */
  private static final double FAILURE_FACTOR = 1.5;

  private static final double BYTES_PER_KILOBYTE = 1024;

  private final TargetBoard board;
  private final DispatchPreferences preferences;

  ExpectedTime(TargetBoard board, DispatchPreferences preferences) {
    this.board = board;
    this.preferences = preferences;
  }

  /**
   * Returns the expected time, in ms.
   *
   * @param usualMillis time that the work takes at usual speed, in ms
   * @param bodyBytes size of the request's body
   */
  double millis(int row, double usualMillis, long bodyBytes, long nowNanos) {
    int slots = board.slots(row);
    double before = board.running(row) + board.waiting(row);
    double pace = board.slowdown(row);
    if (!board.isWarm(row, nowNanos)) {
      pace = Math.max(pace, COLD_FACTOR);
    }
    double service = usualMillis * pace;
    if (before + 1 > NEARLY_FULL * slots) {
      service *= NEARLY_FULL_FACTOR;
    }
    double queue = Math.max(0, before + 1 - slots) / slots * service;
    double failures = FAILURE_FACTOR * usualMillis * board.failures(row, nowNanos);
    return service + queue + failures + crossing(row, bodyBytes);
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
