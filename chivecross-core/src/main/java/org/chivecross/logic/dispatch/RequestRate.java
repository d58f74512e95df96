package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;

/** Requests in a second, a mean in which older ones count less. Not thread-safe. */
final class RequestRate {

  /** Time after which a request counts for a third; the others learn of the rate each second. */
  private static final double DECAY_SECONDS = 3;

  private double weight;
  private long decayedNanos = Long.MIN_VALUE;

  void count(long nowNanos) {
    decay(nowNanos);
    weight++;
  }

  double perSecond(long nowNanos) {
    decay(nowNanos);
    return weight / DECAY_SECONDS;
  }

  private void decay(long nowNanos) {
    if (decayedNanos != Long.MIN_VALUE) {
      double seconds = (nowNanos - decayedNanos) / (double) TimeUnit.SECONDS.toNanos(1);
      weight *= Math.exp(-Math.max(0, seconds) / DECAY_SECONDS);
    }
    decayedNanos = nowNanos;
  }
}
