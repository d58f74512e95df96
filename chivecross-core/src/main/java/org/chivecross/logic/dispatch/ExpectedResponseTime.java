package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;
import org.chivecross.model.registry.RegisteredTarget;

/**
 * Estimates the response time of targets from their last load report and the requests sent since.
 * Not thread-safe.
 */
final class ExpectedResponseTime {

  /** Utilisation of the slots from which some targets work more slowly. */
  private static final double NEARLY_FULL_UTILISATION = 0.8;

  /**
   * Slowdown of a nearly full target, averaged over targets that slow down and those that do not.
   */
  private static final double NEARLY_FULL_SLOWDOWN = 1.4;

  /** Slowdown of a target that has just started. */
  private static final double WARM_UP_SLOWDOWN = 2.0;

  /** Penalty of each remembered failure, as a multiple of the nominal response time. */
  private static final double FAILURE_PENALTY_FACTOR = 1.5;

  /** Length of a slow phase; an older report says nothing about the present phase. */
  private static final double SLOW_PHASE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final double BYTES_PER_KILOBYTE = 1024;

  private final DispatchTargetTable targets;
  private final DispatchPreferences preferences;

  ExpectedResponseTime(DispatchTargetTable targets, DispatchPreferences preferences) {
    this.targets = targets;
    this.preferences = preferences;
  }

  /**
   * Returns the expected time until the target answers, provided that it does, in ms.
   *
   * @param nominalMillis response time of a target with free slots at nominal speed, in ms
   */
  double millis(int row, double nominalMillis, long nowNanos) {
    int slots = targets.slots(row);
    double ahead = targets.running(row) + targets.waiting(row);
    double slowdown = slowdown(row, nowNanos);
    if (!targets.isWarm(row, nowNanos)) {
      slowdown = Math.max(slowdown, WARM_UP_SLOWDOWN);
    }
    double serviceMillis = nominalMillis * slowdown;
    if (isNearlyFull(row)) {
      serviceMillis *= NEARLY_FULL_SLOWDOWN;
    }
    double queueMillis = Math.max(0, ahead + 1 - slots) / slots * serviceMillis;
    return serviceMillis + queueMillis;
  }

  /**
   * Returns the penalty of recent failures, in ms. Failures that all targets have in common are
   * subtracted, since they are no reason to prefer one target.
   *
   * @param minFailures failures that each target of the service has at least
   */
  double failurePenaltyMillis(int row, double nominalMillis, double minFailures, long nowNanos) {
    return FAILURE_PENALTY_FACTOR
        * nominalMillis
        * Math.max(0, targets.failures(row, nowNanos) - minFailures);
  }

  /**
   * Returns the expected slowdown of work that starts now: the last report while it is recent, the
   * mean of the target's reports when it is old.
   */
  private double slowdown(int row, long nowNanos) {
    double ageInPhases = targets.reportAgeNanos(row, nowNanos) / SLOW_PHASE_NANOS;
    double reportWeight = Math.max(0, 1 - ageInPhases);
    return reportWeight * targets.slowdown(row) + (1 - reportWeight) * targets.meanSlowdown(row);
  }

  /** Returns whether a target works at nominal speed, by its last report. */
  boolean isAtNominalSpeed(int row, long nowNanos) {
    return targets.isWarm(row, nowNanos) && targets.slowdown(row) <= 1 && !isNearlyFull(row);
  }

  private boolean isNearlyFull(int row) {
    return targets.running(row) + targets.waiting(row) + 1
        > NEARLY_FULL_UTILISATION * targets.slots(row);
  }

  /**
   * Returns the penalty of a target in another data centre, in ms; 0 in the same data centre. It
   * expresses a preference and is no part of the expected time.
   *
   * @param bodyBytes size of the request body and of the response body
   * @param maxMillis upper bound of the penalty
   */
  double crossDataCentreMillis(int row, long bodyBytes, double maxMillis) {
    boolean isInSameDataCentre =
        targets
            .target(row)
            .map(RegisteredTarget::dataCentre)
            .filter(preferences.dataCentre()::equals)
            .isPresent();
    if (isInSameDataCentre) {
      return 0;
    }
    double bySizeMillis =
        preferences.crossDataCentreMillisPerKilobyte() * bodyBytes / BYTES_PER_KILOBYTE;
    return Math.min(maxMillis, preferences.crossDataCentreMillis() + bySizeMillis);
  }
}
