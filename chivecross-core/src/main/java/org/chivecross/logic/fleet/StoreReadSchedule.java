package org.chivecross.logic.fleet;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Schedule of one entry's reads of the platform's store. Not thread-safe.
 *
 * <p>Invariant: at most one read is in progress, and after a failed read the next one waits.
 */
final class StoreReadSchedule {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** View age at which the entry with rank 0 reads again; the drain bound is four times as long. */
  private static final long READ_AGE_NANOS = 400 * NANOS_PER_MILLI;

  /** Maximum wait for a view from another entry before the first store read after a restart. */
  private static final long RESTART_WAIT_NANOS = 60 * NANOS_PER_MILLI;

  /** The same at the first start of the whole fleet, when there are no callers yet. */
  private static final long FIRST_START_WAIT_NANOS = 2_000 * NANOS_PER_MILLI;

  /** Backoff after a failed store read; doubles with each consecutive failure. */
  private static final long INITIAL_BACKOFF_NANOS = 150 * NANOS_PER_MILLI;

  private static final long MAX_BACKOFF_NANOS = 1_200 * NANOS_PER_MILLI;

  private static final int MAX_DOUBLINGS = 3;

  /** Time after which a read without an answer is overdue; a watch waits for 100 ms. */
  private static final long OVERDUE_NANOS = 300 * NANOS_PER_MILLI;

  private final RandomGenerator random;
  private boolean isInProgress;
  private boolean needsSnapshot;
  private long sentNanos;
  private long earliestNanos = Long.MIN_VALUE;
  private long jitterNanos;
  private int failures;

  StoreReadSchedule(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Schedules the first read.
   *
   * @param isSeed whether other entries ask this one for its view, so that it reads at once
   * @param isFirstStart whether the whole fleet starts for the first time
   */
  void start(boolean isSeed, boolean isFirstStart, long nowNanos) {
    long maxWaitNanos = isFirstStart ? FIRST_START_WAIT_NANOS : RESTART_WAIT_NANOS;
    long waitNanos =
        isSeed ? 0 : maxWaitNanos / 4 + random.nextLong(maxWaitNanos - maxWaitNanos / 4);
    earliestNanos = nowNanos + waitNanos;
  }

  /** Records that a read was sent. */
  void begin(long nowNanos) {
    isInProgress = true;
    sentNanos = nowNanos;
  }

  boolean isInProgress() {
    return isInProgress;
  }

  /** Returns whether a read has had no answer for longer than the store normally takes. */
  boolean isOverdue(long nowNanos) {
    return isInProgress && nowNanos - sentNanos > OVERDUE_NANOS;
  }

  /** Returns whether the changes since the last read are not available. */
  boolean needsSnapshot() {
    return needsSnapshot;
  }

  /** Returns the monotonic time at which the last read was sent. */
  long sentNanos() {
    return sentNanos;
  }

  void succeeded() {
    isInProgress = false;
    failures = 0;
    needsSnapshot = false;
    jitterNanos = random.nextLong(ReadOrder.FULL_STEP_NANOS / 2);
  }

  /** Records that the store can't return the changes since the last read. */
  void changesLost() {
    isInProgress = false;
    needsSnapshot = true;
  }

  void failed(long nowNanos) {
    isInProgress = false;
    failures++;
    long pauseNanos = INITIAL_BACKOFF_NANOS << Math.min(failures - 1, MAX_DOUBLINGS);
    long boundedNanos = Math.min(MAX_BACKOFF_NANOS, pauseNanos);
    earliestNanos = nowNanos + boundedNanos / 2 + random.nextLong(boundedNanos);
  }

  /** Returns when the first read or a read of a snapshot may be sent. */
  long nextUrgentNanos() {
    return earliestNanos;
  }

  /**
   * Returns when the next read is sent.
   *
   * @param sinceNanos time as of which the view reflects the store
   * @param rank rank of this entry among those that may read
   */
  long nextNanos(long sinceNanos, int rank) {
    return Math.max(
        sinceNanos + READ_AGE_NANOS + ReadOrder.delayNanos(rank) + jitterNanos, earliestNanos);
  }
}
