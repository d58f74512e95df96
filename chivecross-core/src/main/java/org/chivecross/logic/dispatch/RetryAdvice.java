package org.chivecross.logic.dispatch;

import java.util.random.RandomGenerator;

/**
 * Advice to callers when to come back, spread so that they don't come back together. Not
 * thread-safe.
 */
final class RetryAdvice {

  /** While another target has room: about the time until the next report tells its load. */
  private static final long SOON_MILLIS = 20;

  /** While targets have room but are slow: half of a phase of slowness. */
  private static final long NEXT_PHASE_MILLIS = 75;

  /** Shortest time in which a backlog shrinks by a noticeable part. */
  private static final long MIN_BACKLOG_MILLIS = 100;

  /** Longest advice; the set of targets changes within seconds. */
  private static final long MAX_MILLIS = 1_000;

  private final RandomGenerator random;

  RetryAdvice(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the advice while another target has room, in ms. */
  long soonMillis() {
    return jittered(SOON_MILLIS);
  }

  /** Returns the advice while targets have room but are slow for the moment, in ms. */
  long nextPhaseMillis() {
    return jittered(NEXT_PHASE_MILLIS);
  }

  /**
   * Returns the advice while all targets are busy: the time until about half of the backlog is
   * done, in ms.
   *
   * @param bestMillis expected time of the best target, in ms; anything when there is none
   */
  long afterBacklogMillis(double bestMillis) {
    double half = Math.min(bestMillis / 2, MAX_MILLIS);
    return jittered(Math.max(MIN_BACKLOG_MILLIS, (long) half));
  }

  /** Returns the advice while there is no target at all, in ms. */
  long maxMillis() {
    return jittered(MAX_MILLIS);
  }

  private long jittered(long millis) {
    return Math.max(1, millis / 2 + (long) (random.nextDouble() * millis));
  }
}
