package org.chivecross.cli.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * Runs actions in the order of their virtual times. Not thread-safe.
 *
 * <p>Invariant: actions of the same time run in the order in which they were planned.
 */
public final class VirtualTime {

  /** An action and when it runs. */
  private record ScheduledAction(long atNanos, long order, Runnable action) {}

  private final Queue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atNanos)
              .thenComparingLong(ScheduledAction::order));
  private long nowNanos;
  private long lastOrder;

  /** Creates a time that starts at 0. */
  public VirtualTime() {}

  /** Returns the virtual time, in ns. */
  public long now() {
    return nowNanos;
  }

  /** Plans an action. */
  public void after(long delayNanos, Runnable action) {
    lastOrder++;
    scheduledActions.add(new ScheduledAction(nowNanos + delayNanos, lastOrder, action));
  }

  /** Runs all actions up to a time. */
  public void runUntil(long untilNanos) {
    while (!scheduledActions.isEmpty() && scheduledActions.peek().atNanos() <= untilNanos) {
      ScheduledAction next = scheduledActions.remove();
      nowNanos = next.atNanos();
      next.action().run();
    }
    nowNanos = untilNanos;
  }
}
