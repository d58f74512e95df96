package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * This entry's part of the probes that targets may get: a token bucket whose rate follows the
 * number of targets and the entry's part of the requests. Not thread-safe.
 */
final class ProbeTokenBucket {

  /** Part of the agreed rate that is used, since entries disagree on their number for a while. */
  private static final double USED_FRACTION = 0.9;

  /** Time whose probes may be sent at once; the agreed rate is a mean over a much longer time. */
  private static final double BURST_SECONDS = 2.0;

  /** Part that an entry may use at once when it starts and knows no report: one of 20 entries. */
  private static final double INITIAL_SHARE = 0.05;

  private final double perTargetAndSecond;
  private double tokens;
  private long refilledNanos = Long.MIN_VALUE;

  /** Creates an allowance of {@code perTargetAndSecond} probes from all entries together. */
  ProbeTokenBucket(double perTargetAndSecond) {
    this.perTargetAndSecond = perTargetAndSecond;
  }

  /**
   * Takes one probe; false when the allowance is used up.
   *
   * @param part this entry's part of all probes, from 0 to 1
   */
  boolean tryTake(int targets, double part, long nowNanos) {
    double rate = USED_FRACTION * perTargetAndSecond * targets * part;
    double most = Math.max(1, rate * BURST_SECONDS);
    if (refilledNanos == Long.MIN_VALUE) {
      tokens =
          Math.max(most, USED_FRACTION * perTargetAndSecond * targets * INITIAL_SHARE * BURST_SECONDS);
    } else if (tokens < most) {
      double seconds = (nowNanos - refilledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
      tokens = Math.min(most, tokens + rate * seconds);
    }
    refilledNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
