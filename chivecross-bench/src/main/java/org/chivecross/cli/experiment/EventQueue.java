package org.chivecross.cli.experiment;

import java.util.PriorityQueue;

/**
 * Event queue with a virtual clock. Runs actions in the order of their times; actions of the same
 * time run in the order in which they were scheduled. Not thread-safe.
 */
final class EventQueue {

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowNanos;
  private long scheduledCount;

  /**
   * A scheduled action.
   *
   * @param nanos virtual time at which the action runs, in ns
   * @param number number of the event in the order of scheduling
   * @param action action to run
   */
  private record Event(long nanos, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(nanos, other.nanos);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  /** Returns the virtual time in ns. */
  long now() {
    return nowNanos;
  }

  /** Schedules an action to run after a delay in ns; a negative delay counts as 0. */
  void after(long delayNanos, Runnable action) {
    scheduledCount++;
    events.add(new Event(nowNanos + Math.max(0, delayNanos), scheduledCount, action));
  }

  /** Runs all events up to a virtual time in ns and advances the clock to it. */
  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().nanos() <= endNanos) {
      Event event = events.remove();
      nowNanos = event.nanos();
      event.action().run();
    }
    nowNanos = endNanos;
  }
}
