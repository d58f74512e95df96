package org.chivecross.cli.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * Virtual clock that runs scheduled actions in the order of their times. Not thread-safe.
 *
 * <p>Invariant: actions of the same time run in the order in which they were scheduled.
 */
public final class VirtualTime {

  /** An action, its virtual time, and its place among actions of the same time. */
  private record ScheduledAction(long atNanos, long order, Runnable action) {}

  private final Queue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atNanos)
              .thenComparingLong(ScheduledAction::order));
  private long nowNanos;
  private long lastOrder;

  /** Creates a clock that starts at 0. */
  public VirtualTime() {}

  /** Returns the virtual time, in ns. */
  public long now() {
    return nowNanos;
  }

  /** Schedules an action to run after a delay. */
  public void after(long delayNanos, Runnable action) {
    lastOrder++;
    scheduledActions.add(new ScheduledAction(nowNanos + delayNanos, lastOrder, action));
  }

  /** Runs all actions scheduled up to a time and advances the clock to it. */
  public void runUntil(long untilNanos) {
    while (!scheduledActions.isEmpty() && scheduledActions.peek().atNanos() <= untilNanos) {
      ScheduledAction next = scheduledActions.remove();
      nowNanos = next.atNanos();
      next.action().run();
    }
    nowNanos = untilNanos;
  }
}
