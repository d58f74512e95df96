package org.chivecross.logic.limit;

import org.chivecross.model.fileset.Limits;

/**
 * Share of one entry in limits over the whole system. The limits are divided by the bound on
 * entries, so that all entries together can't pass them. Immutable.
 *
 * @param concurrency most requests in service at once
 * @param intervalNanos time in which one request is earned, in ns
 * @param burst most requests started at once after a quiet time
 */
public record LimitShare(int concurrency, long intervalNanos, int burst) {

  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /** Divides limits by the bound on entries; each entry may always run one request. */
  public static LimitShare of(Limits limits, int entryBound) {
    int entries = Math.max(1, entryBound);
    long interval = NANOS_PER_SECOND * entries / Math.max(1, limits.ratePerSecond());
    return new LimitShare(
        ceilingShare(limits.concurrency(), entries),
        Math.max(1, interval),
        ceilingShare(limits.burst(), entries));
  }

  private static int ceilingShare(int whole, int entries) {
    return Math.max(1, (whole + entries - 1) / entries);
  }
}
