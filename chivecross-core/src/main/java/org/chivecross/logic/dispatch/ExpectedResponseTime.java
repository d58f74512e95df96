package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;
import org.chivecross.model.registry.RegisteredTarget;

/**
 * Expected time until a target answers, from its last report and what this entry sent since. Not
 * thread-safe.
 */
final class ExpectedResponseTime {

  /** Part of the slots from which some targets work slower. */
  private static final double NEARLY_FULL_UTILISATION = 0.8;

  /** How many times longer work takes there, on average over targets of both kinds. */
  private static final double NEARLY_FULL_SLOWDOWN = 1.4;

  /** How many times longer than usual a target works that has just started. */
  private static final double WARM_UP_SLOWDOWN = 2.0;

  /** Usual times that each remembered failure counts when targets are compared. */
  private static final double FAILURE_PENALTY_FACTOR = 1.5;

  /** Length of a phase of slowness; a report that is older says nothing of the present one. */
  private static final double SLOW_PHASE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final double BYTES_PER_KILOBYTE = 1024;

  private final DispatchTargetTable targets;
  private final DispatchPreferences preferences;

  ExpectedResponseTime(DispatchTargetTable board, DispatchPreferences preferences) {
    this.targets = board;
    this.preferences = preferences;
  }

  /**
   * Returns the expected time if the target answers, in ms.
   *
   * @param usualMillis time that the work takes at a target that has room, in ms
   * @param bodyBytes size of the request's body
   */
  double millis(int row, double usualMillis, long bodyBytes, long nowNanos) {
    int slots = targets.slots(row);
    double before = targets.running(row) + targets.waiting(row);
    double pace = slowdown(row, nowNanos);
    if (!targets.isWarm(row, nowNanos)) {
      pace = Math.max(pace, WARM_UP_SLOWDOWN);
    }
    double service = usualMillis * pace;
    if (isNearlyFull(row)) {
      service *= NEARLY_FULL_SLOWDOWN;
    }
    double queue = Math.max(0, before + 1 - slots) / slots * service;
    return service + queue + crossDataCentreMillis(row, bodyBytes);
  }

  /**
   * Returns the disadvantage of failures that were seen of late, in ms. Failures that all targets
   * share are no reason to prefer one to another.
   *
   * @param shared failures that each target of the service has at least
   */
  double failurePenaltyMillis(int row, double usualMillis, double shared, long nowNanos) {
    return FAILURE_PENALTY_FACTOR * usualMillis * Math.max(0, targets.failures(row, nowNanos) - shared);
  }

  /**
   * Returns how many times longer than usual work takes that begins now: what the last report tells
   * while it is young, what reports of the target told on average when it is old.
   */
  private double slowdown(int row, long nowNanos) {
    double age = targets.reportAgeNanos(row, nowNanos) / SLOW_PHASE_NANOS;
    double trust = Math.max(0, 1 - age);
    return trust * targets.slowdown(row) + (1 - trust) * targets.meanSlowdown(row);
  }

  /** Returns whether a target works at its usual speed, as far as its last report tells. */
  boolean isAtNominalSpeed(int row, long nowNanos) {
    return targets.isWarm(row, nowNanos) && targets.slowdown(row) <= 1 && !isNearlyFull(row);
  }

  private boolean isNearlyFull(int row) {
    return targets.running(row) + targets.waiting(row) + 1 > NEARLY_FULL_UTILISATION * targets.slots(row);
  }

  /** Returns the disadvantage of a target in another data centre, in ms. */
  double crossDataCentreMillis(int row, long bodyBytes) {
    boolean near =
        targets
            .target(row)
            .map(RegisteredTarget::dataCentre)
            .filter(preferences.dataCentre()::equals)
            .isPresent();
    if (near) {
      return 0;
    }
    return preferences.crossDataCentreMillis()
        + preferences.crossDataCentreMillisPerKilobyte() * bodyBytes / BYTES_PER_KILOBYTE;
  }
}
