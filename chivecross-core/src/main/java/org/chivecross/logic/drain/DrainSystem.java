package org.chivecross.logic.drain;

import java.util.concurrent.TimeUnit;

/**
 * State machine of the graceful stop of an entry (connection draining): after the first request to
 * stop, the entry accepts no new callers and continues to serve until all directory answers that
 * name it have expired and nothing is in flight.
 *
 * <p>Invariant: phases only move forward, and {@link Phase#CUT} is reached only by a second request
 * to stop or at the deadline. Not thread-safe; the tick thread calls all methods.
 */
public final class DrainSystem {

  /** Time within which all other entries receive the update that this entry is leaving, in ms. */
  public static final long PROPAGATION_MILLIS = 2_000;

  /** Phase of a stop. */
  public enum Phase {
    /** No stop was requested. */
    SERVING,
    /** New callers are directed to other entries; all requests that arrive are served. */
    LEAVING,
    /** Everything in flight has ended; the entry may exit. */
    FINISHED,
    /** The stop was forced; requests in flight are aborted and their callers are informed. */
    CUT
  }

  private final long deadlineMillis;
  private Phase phase = Phase.SERVING;
  private long answersExpireNanos;
  private long forcedStopNanos;

  /**
   * Creates a drain in the phase {@link Phase#SERVING}.
   *
   * @param deadlineMillis maximum duration of a graceful stop, in ms
   */
  public DrainSystem(long deadlineMillis) {
    this.deadlineMillis = deadlineMillis;
  }

  /**
   * Requests a stop; a second call forces it.
   *
   * @param lifetimeMillis maximum lifetime of a directory answer that may name this entry, in ms; 0
   *     if none was given
   */
  public void requestStop(long lifetimeMillis, long nowNanos) {
    if (phase == Phase.LEAVING) {
      phase = Phase.CUT;
    }
    if (phase != Phase.SERVING) {
      return;
    }
    phase = Phase.LEAVING;
    long wait = lifetimeMillis == 0 ? 0 : lifetimeMillis + PROPAGATION_MILLIS;
    answersExpireNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(wait);
    forcedStopNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
  }

  /**
   * Advances the phase if its condition is met, and returns the phase.
   *
   * @param isIdle whether nothing is in flight
   */
  public Phase tick(boolean isIdle, long nowNanos) {
    if (phase != Phase.LEAVING) {
      return phase;
    }
    if (isIdle && nowNanos - answersExpireNanos >= 0) {
      phase = Phase.FINISHED;
    } else if (nowNanos - forcedStopNanos >= 0) {
      phase = Phase.CUT;
    }
    return phase;
  }

  /** Returns the phase. */
  public Phase phase() {
    return phase;
  }
}
