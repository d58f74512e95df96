package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket that limits the probes of this entry. Its rate follows the number of targets and the
 * entry's share of all requests. Not thread-safe.
 */
final class ProbeTokenBucket {

  /**
   * Fraction of the configured rate that is used, since entries may disagree on their number for a
   * while.
   */
  private static final double USED_FRACTION = 0.9;

  /** Capacity of the bucket in seconds; the configured rate is a mean over a much longer time. */
  private static final double BURST_SECONDS = 2.0;

  /** Share assumed for the initial tokens, when an entry has no report yet: one of 20 entries. */
  private static final double INITIAL_SHARE = 0.05;

  private final double perTargetAndSecond;
  private double tokens;
  private long refilledNanos = Long.MIN_VALUE;

  /**
   * Creates a bucket.
   *
   * @param perTargetAndSecond probes to each target per second from all entries together
   */
  ProbeTokenBucket(double perTargetAndSecond) {
    this.perTargetAndSecond = perTargetAndSecond;
  }

  /**
   * Takes a token for one probe; false when there is none.
   *
   * @param share this entry's share of all requests, from 0 to 1
   */
  boolean tryTake(int targets, double share, long nowNanos) {
    double rate = USED_FRACTION * perTargetAndSecond * targets * share;
    double capacity = Math.max(1, rate * BURST_SECONDS);
    if (refilledNanos == Long.MIN_VALUE) {
      tokens =
          Math.max(
              capacity,
              USED_FRACTION * perTargetAndSecond * targets * INITIAL_SHARE * BURST_SECONDS);
    } else if (tokens < capacity) {
      double seconds = (nowNanos - refilledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
      tokens = Math.min(capacity, tokens + rate * seconds);
    }
    refilledNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
