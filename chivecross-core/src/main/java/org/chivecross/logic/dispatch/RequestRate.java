package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;

/** Rate of requests per second, with exponentially decaying weights. Not thread-safe. */
final class RequestRate {

  /** Time constant of the decay; the rate is sent to the other entries each second. */
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
