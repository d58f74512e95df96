package org.chivecross.logic.dispatch;

import java.util.random.RandomGenerator;

/**
 * Computes retry delays for callers, with jitter so that their retries spread out. Not thread-safe.
 */
final class RetryAdvice {

  /** While another target has free slots: about the time until its next load report. */
  private static final long SOON_MILLIS = 20;

  /** While targets have free slots but are slow: half of a slow phase. */
  private static final long NEXT_PHASE_MILLIS = 75;

  /** Shortest time in which a backlog shrinks noticeably. */
  private static final long MIN_BACKLOG_MILLIS = 100;

  /** Maximum delay; the set of targets changes within seconds. */
  private static final long MAX_MILLIS = 1_000;

  private final RandomGenerator random;

  RetryAdvice(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the delay while another target has free slots, in ms. */
  long soonMillis() {
    return jittered(SOON_MILLIS);
  }

  /** Returns the delay while targets have free slots but are slow for the moment, in ms. */
  long nextPhaseMillis() {
    return jittered(NEXT_PHASE_MILLIS);
  }

  /**
   * Returns the delay while all targets are busy: the time in which about half of the backlog is
   * served, in ms.
   *
   * @param bestMillis expected response time of the best target, in ms; any value when there is
   *     none
   */
  long afterBacklogMillis(double bestMillis) {
    double half = Math.min(bestMillis / 2, MAX_MILLIS);
    return jittered(Math.max(MIN_BACKLOG_MILLIS, (long) half));
  }

  /**
   * Returns the delay while all targets have asked for a hold-off, in ms: never shorter than the
   * rest of the first hold-off.
   */
  long afterHoldOffMillis(long restMillis) {
    return Math.max(0, restMillis) + jittered(SOON_MILLIS);
  }

  /** Returns the delay while there is no target, in ms. */
  long maxMillis() {
    return jittered(MAX_MILLIS);
  }

  private long jittered(long millis) {
    return Math.max(1, millis / 2 + (long) (random.nextDouble() * millis));
  }
}
