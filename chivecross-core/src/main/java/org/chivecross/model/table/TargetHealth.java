package org.chivecross.model.table;

import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Health columns of the targets: outcomes of attempts, ejections and the start of service.
 *
 * <p>Thread safety: any thread may record outcomes and read; ejections and the start of service are
 * written only in the tick.
 */
public final class TargetHealth {

  private final AtomicLongArray successes;
  private final AtomicLongArray failures;
  private final AtomicIntegerArray consecutiveFailures;
  private final AtomicIntegerArray consecutiveRefusals;
  private final AtomicLongArray lastFailureNanos;
  private final AtomicLongArray ejectedUntilNanos;
  private final AtomicIntegerArray ejections;
  private final AtomicLongArray servingSinceNanos;

  TargetHealth(int capacity) {
    successes = new AtomicLongArray(capacity);
    failures = new AtomicLongArray(capacity);
    consecutiveFailures = new AtomicIntegerArray(capacity);
    consecutiveRefusals = new AtomicIntegerArray(capacity);
    lastFailureNanos = new AtomicLongArray(capacity);
    ejectedUntilNanos = new AtomicLongArray(capacity);
    ejections = new AtomicIntegerArray(capacity);
    servingSinceNanos = new AtomicLongArray(capacity);
  }

  void clear(int row) {
    successes.set(row, 0);
    failures.set(row, 0);
    consecutiveFailures.set(row, 0);
    consecutiveRefusals.set(row, 0);
    lastFailureNanos.set(row, TargetTable.NEVER);
    ejectedUntilNanos.set(row, TargetTable.NEVER);
    ejections.set(row, 0);
    servingSinceNanos.set(row, TargetTable.NEVER);
  }

  /** Counts an attempt that the target served. */
  public void recordSuccess(int row) {
    successes.incrementAndGet(row);
    if (consecutiveFailures.get(row) != 0) {
      consecutiveFailures.set(row, 0);
    }
    if (consecutiveRefusals.get(row) != 0) {
      consecutiveRefusals.set(row, 0);
    }
  }

  /** Counts an attempt that the target did not serve. */
  public void recordFailure(int row, long nowNanos) {
    failures.incrementAndGet(row);
    consecutiveFailures.incrementAndGet(row);
    lastFailureNanos.set(row, nowNanos);
  }

  /** Counts a refused connection and returns the number of consecutive refusals. */
  public int recordRefusal(int row) {
    return consecutiveRefusals.incrementAndGet(row);
  }

  /** Resets the number of consecutive refusals. */
  public void resetRefusals(int row) {
    consecutiveRefusals.set(row, 0);
  }

  /** Returns the attempts that succeeded since the row was acquired. */
  public long successes(int row) {
    return successes.get(row);
  }

  /** Returns the attempts that failed since the row was acquired. */
  public long failures(int row) {
    return failures.get(row);
  }

  /** Returns the number of failures since the last success. */
  public int consecutiveFailures(int row) {
    return consecutiveFailures.get(row);
  }

  /** Sets the number of failures since the last success. */
  public void setConsecutiveFailures(int row, int count) {
    consecutiveFailures.set(row, count);
  }

  /** Returns the time of the last failed attempt, or {@link TargetTable#NEVER}. */
  public long lastFailureNanos(int row) {
    return lastFailureNanos.get(row);
  }

  /** Ejects a target until a time. */
  public void eject(int row, long untilNanos) {
    ejectedUntilNanos.set(row, untilNanos);
    ejections.incrementAndGet(row);
  }

  /** Ends the ejection of a target. */
  public void readmit(int row) {
    ejectedUntilNanos.set(row, TargetTable.NEVER);
  }

  /**
   * Returns the time until which a target is ejected, or {@link TargetTable#NEVER} when it is not
   * ejected.
   */
  public long ejectedUntilNanos(int row) {
    return ejectedUntilNanos.get(row);
  }

  /** Returns whether a target is ejected. */
  public boolean isEjected(int row) {
    return ejectedUntilNanos.get(row) != TargetTable.NEVER;
  }

  /** Returns the number of ejections since the last call of {@link #resetEjections}. */
  public int ejections(int row) {
    return ejections.get(row);
  }

  /** Resets the number of ejections. */
  public void resetEjections(int row) {
    ejections.set(row, 0);
  }

  /** Starts the slow start of a target that has just begun to serve, or serves again. */
  public void startServing(int row, long nowNanos) {
    servingSinceNanos.set(row, nowNanos);
  }

  /**
   * Returns the time at which the target began to serve; {@link TargetTable#NEVER} means that it
   * has no slow start.
   */
  public long servingSinceNanos(int row) {
    return servingSinceNanos.get(row);
  }
}
