package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;

/** Requests in a second, a mean in which older ones count less. Not thread-safe. */
final class RequestRate {

  /** Time after which a request counts for a third; the others learn of the rate each second. */
  private static final double MEMORY_SECONDS = 3;

  private double weight;
  private long weighedNanos = Long.MIN_VALUE;

  void count(long nowNanos) {
    fade(nowNanos);
    weight++;
  }

  double perSecond(long nowNanos) {
    fade(nowNanos);
    return weight / MEMORY_SECONDS;
  }

  private void fade(long nowNanos) {
    if (weighedNanos != Long.MIN_VALUE) {
      double seconds = (nowNanos - weighedNanos) / (double) TimeUnit.SECONDS.toNanos(1);
      weight *= Math.exp(-Math.max(0, seconds) / MEMORY_SECONDS);
    }
    weighedNanos = nowNanos;
  }
}
