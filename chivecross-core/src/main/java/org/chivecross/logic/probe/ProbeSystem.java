package org.chivecross.logic.probe;

import java.util.Arrays;

/**
 * Limits the rate of the probes of one entry.
 *
 * <p>Invariants: two probes of a target start at least its interval apart, and the first probe
 * starts at least one interval after the row was added, so that neither a pause nor a restart
 * causes a burst; at most one probe of a target is in flight, and it ends by its deadline.
 *
 * <p>Not thread-safe: the engine calls it from one thread at a time.
 */
public final class ProbeSystem {

  /** Time after which an unanswered probe is cancelled, in ns. */
  public static final long TIMEOUT_NANOS = 200_000_000L;

  private static final long NOT_IN_FLIGHT = Long.MIN_VALUE;

  private final long[] intervalNanos;
  private final long[] nextNanos;
  private final long[] deadlineNanos;

  /** Creates a system for at most {@code capacity} targets. */
  public ProbeSystem(int capacity) {
    intervalNanos = new long[capacity];
    nextNanos = new long[capacity];
    deadlineNanos = new long[capacity];
    Arrays.fill(intervalNanos, ProbeBudget.NO_PROBES);
    Arrays.fill(deadlineNanos, NOT_IN_FLIGHT);
  }

  /**
   * Sets the minimum time between two probes of a target.
   *
   * @param interval minimum time between two probes, in ns
   * @param isNewRow whether the row was allocated just now
   */
  public void setInterval(int row, long interval, boolean isNewRow, long nowNanos) {
    if (isNewRow) {
      nextNanos[row] = nowNanos + interval;
      deadlineNanos[row] = NOT_IN_FLIGHT;
    } else if (interval > intervalNanos[row]) {
      nextNanos[row] = Math.max(nextNanos[row], nowNanos + interval);
    }
    intervalNanos[row] = interval;
  }

  /**
   * Starts a probe of a target if its interval has passed and no probe is in flight; returns
   * whether it started.
   */
  public boolean tryStart(int row, long nowNanos) {
    if (isInFlight(row, nowNanos) || nowNanos < nextNanos[row]) {
      return false;
    }
    nextNanos[row] = nowNanos + intervalNanos[row];
    deadlineNanos[row] = nowNanos + TIMEOUT_NANOS;
    return true;
  }

  /**
   * Ends the probe of a target; returns false when none was in flight or its deadline had passed.
   */
  public boolean end(int row, long nowNanos) {
    boolean inTime = isInFlight(row, nowNanos);
    deadlineNanos[row] = NOT_IN_FLIGHT;
    return inTime;
  }

  private boolean isInFlight(int row, long nowNanos) {
    return deadlineNanos[row] != NOT_IN_FLIGHT && nowNanos < deadlineNanos[row];
  }
}
