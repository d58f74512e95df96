package org.chivecross.logic.drain;

import java.util.concurrent.TimeUnit;

/**
 * Graceful stop of an entry: after the first request to stop it takes no new callers, and goes on
 * serving until no caller can hold an answer that names it and nothing is in flight.
 *
 * <p>Invariant: phases only move forward, and {@link Phase#CUT} is reached only by a second request
 * or the deadline. Not thread-safe; the tick thread calls all methods.
 */
public final class DrainSystem {

  /** Time in which all other entries learn that this one is leaving, in ms. */
  public static final long PROPAGATION_MILLIS = 2_000;

  /** Phase of a stop. */
  public enum Phase {
    /** No stop was asked for. */
    SERVING,
    /** New callers are sent elsewhere; all requests that come are served. */
    LEAVING,
    /** Nothing is left to do. */
    FINISHED,
    /** The stop was forced; what is in flight is cut and told so. */
    CUT
  }

  private final long deadlineMillis;
  private Phase phase = Phase.SERVING;
  private long answersExpireNanos;
  private long forcedStopNanos;

  /**
   * Creates a drain that was not asked for.
   *
   * @param deadlineMillis longest graceful stop, in ms
   */
  public DrainSystem(long deadlineMillis) {
    this.deadlineMillis = deadlineMillis;
  }

  /**
   * Asks for a stop; asking again forces it.
   *
   * @param lifetimeMillis longest lifetime of a directory answer that may name this entry, in ms; 0
   *     when none was given out
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
   * Moves on when it is time.
   *
   * @param drained whether nothing is in flight
   */
  public Phase tick(boolean drained, long nowNanos) {
    if (phase != Phase.LEAVING) {
      return phase;
    }
    if (drained && nowNanos - answersExpireNanos >= 0) {
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
