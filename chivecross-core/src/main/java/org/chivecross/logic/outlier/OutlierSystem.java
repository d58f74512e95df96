package org.chivecross.logic.outlier;

import org.chivecross.model.table.TargetHealth;

/**
 * Outlier detection: ejects targets with several consecutive failures.
 *
 * <p>Invariants: at most half of the targets of a service are ejected at the same time; when more
 * than half are failing, none is ejected, since the fault is then more likely at this entry or its
 * network. An ejection ends after a fixed time; a target that fails again immediately is ejected
 * for twice as long.
 *
 * <p>Not thread-safe: runs in the tick.
 */
public final class OutlierSystem {

  /** Number of consecutive failures after which a target is ejected. */
  public static final int FAILURES_BEFORE_EJECTION = 3;

  /** Duration of the first ejection, in ns. */
  public static final long INITIAL_EJECTION_NANOS = 1_000_000_000L;

  /** Maximum duration of an ejection, in ns. */
  public static final long MAX_EJECTION_NANOS = 30_000_000_000L;

  private static final int MAX_DOUBLINGS = 5;

  private final TargetHealth health;

  /** Creates a system over the health columns. */
  public OutlierSystem(TargetHealth health) {
    this.health = health;
  }

  /** Ejects and readmits targets of one service. */
  public void tick(int[] rows, long nowNanos) {
    int failing = 0;
    for (int row : rows) {
      readmitWhenExpired(row, nowNanos);
      if (isFailing(row)) {
        failing++;
      }
    }
    if (failing == 0) {
      return;
    }
    if (failing > rows.length / 2) {
      for (int row : rows) {
        health.readmit(row);
      }
      return;
    }
    for (int row : rows) {
      if (isFailing(row) && !health.isEjected(row)) {
        health.eject(row, nowNanos + ejectionNanos(row));
      }
    }
  }

  private boolean isFailing(int row) {
    return health.isEjected(row) || health.consecutiveFailures(row) >= FAILURES_BEFORE_EJECTION;
  }

  private void readmitWhenExpired(int row, long nowNanos) {
    if (health.isEjected(row)) {
      if (nowNanos >= health.ejectedUntilNanos(row)) {
        health.readmit(row);
        health.setConsecutiveFailures(row, FAILURES_BEFORE_EJECTION - 1);
        health.startServing(row, nowNanos);
      }
      return;
    }
    if (health.ejections(row) > 0
        && nowNanos - health.lastFailureNanos(row) > 2 * MAX_EJECTION_NANOS) {
      health.resetEjections(row);
    }
  }

  private long ejectionNanos(int row) {
    int doublings = Math.min(MAX_DOUBLINGS, health.ejections(row));
    return Math.min(MAX_EJECTION_NANOS, INITIAL_EJECTION_NANOS << doublings);
  }
}
