package org.chivecross.logic.config;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket of platform calls. Not thread-safe; the tick thread owns it.
 *
 * <p>Invariant: over any period the calls allowed are at most the burst plus the rate times the
 * period.
 */
final class CallBudget {

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final double perSecond;
  private final int burst;
  private double tokens;
  private long refilledNanos;
  private boolean started;
  private long taken;

  CallBudget(double perSecond, int burst) {
    this.perSecond = perSecond;
    this.burst = burst;
    tokens = burst;
  }

  boolean tryTake(long nowNanos) {
    if (started) {
      double refill = (nowNanos - refilledNanos) / NANOS_PER_SECOND * perSecond;
      tokens = Math.min(burst, tokens + refill);
    }
    started = true;
    refilledNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    taken++;
    return true;
  }

  long taken() {
    return taken;
  }
}
