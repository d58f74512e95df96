package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;

/** Rate of requests per second, with exponentially decaying weights. Not thread-safe. */
final class RequestRate {

  /** Time constant of the decay; the rate is sent to the other entries each second. */
  private static final double DECAY_SECONDS = 3;

  /** Shortest time over which a mean is taken. */
  private static final double MIN_MEAN_SECONDS = 1;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final double decaySeconds;
  private double weight;
  private long firstNanos = Long.MIN_VALUE;
  private long decayedNanos = Long.MIN_VALUE;

  RequestRate() {
    this(DECAY_SECONDS);
  }

  RequestRate(double decaySeconds) {
    this.decaySeconds = decaySeconds;
  }

  void count(long nowNanos) {
    decay(nowNanos);
    weight++;
  }

  double perSecond(long nowNanos) {
    decay(nowNanos);
    return weight / decaySeconds;
  }

  /** Returns the rate without the bias towards 0 in the time after the first request. */
  double meanPerSecond(long nowNanos) {
    decay(nowNanos);
    double seconds = Math.max(MIN_MEAN_SECONDS, (nowNanos - firstNanos) / NANOS_PER_SECOND);
    return weight / (decaySeconds * (1 - Math.exp(-seconds / decaySeconds)));
  }

  private void decay(long nowNanos) {
    if (decayedNanos == Long.MIN_VALUE) {
      firstNanos = nowNanos;
    } else {
      double seconds = (nowNanos - decayedNanos) / NANOS_PER_SECOND;
      weight *= Math.exp(-Math.max(0, seconds) / decaySeconds);
    }
    decayedNanos = nowNanos;
  }
}
