package org.chivecross.logic.dispatch;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.request.LoadReport;

/**
 * Counts collisions: requests that a target refused or reset although it had reported a free slot
 * just before, mostly because another entry took the slot. Not thread-safe.
 */
final class CollisionCounter {

  /** Age up to which a report is used without a new probe. */
  private static final long FREE_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  private static final int INITIAL_CAPACITY = 64;

  private long[] freeSlotNanos = new long[0];
  private long count;

  /** Records a load report of a target. */
  void reported(int row, LoadReport report, long nowNanos) {
    if (report.inService() + report.queued() >= report.slots()) {
      return;
    }
    if (row >= freeSlotNanos.length) {
      int before = freeSlotNanos.length;
      freeSlotNanos = Arrays.copyOf(freeSlotNanos, Math.max(INITIAL_CAPACITY, 2 * row));
      Arrays.fill(freeSlotNanos, before, freeSlotNanos.length, Long.MIN_VALUE);
    }
    freeSlotNanos[row] = nowNanos;
  }

  /** Records that a target refused a request or closed its connection. */
  void refused(int row, long nowNanos) {
    if (row < freeSlotNanos.length
        && freeSlotNanos[row] != Long.MIN_VALUE
        && nowNanos - freeSlotNanos[row] <= FREE_REPORT_NANOS) {
      count++;
    }
  }

  long count() {
    return count;
  }
}
