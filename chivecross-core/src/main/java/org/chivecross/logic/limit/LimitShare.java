package org.chivecross.logic.limit;

import org.chivecross.model.fileset.Limits;

/**
 * One entry's share of limits of the total deployment. The limits are divided by the maximum number
 * of entries, so that all entries together stay within them. Immutable.
 *
 * @param concurrency maximum number of concurrent requests
 * @param intervalNanos interval in which one token is added, in ns
 * @param burst capacity of the token bucket, in requests
 */
public record LimitShare(int concurrency, long intervalNanos, int burst) {

  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /** Divides limits by the maximum number of entries; each entry may always run one request. */
  public static LimitShare of(Limits limits, int entryBound) {
    int entries = Math.max(1, entryBound);
    long intervalNanos = NANOS_PER_SECOND * entries / Math.max(1, limits.ratePerSecond());
    return new LimitShare(
        ceilingShare(limits.concurrency(), entries),
        Math.max(1, intervalNanos),
        ceilingShare(limits.burst(), entries));
  }

  private static int ceilingShare(int total, int entries) {
    return Math.max(1, (total + entries - 1) / entries);
  }
}
