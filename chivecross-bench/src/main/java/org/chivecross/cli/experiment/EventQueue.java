package org.chivecross.cli.experiment;

import java.util.PriorityQueue;

/**
 * Virtual time: runs actions in the order of their times, and of their scheduling when times are
 * equal. Not thread-safe.
 */
final class EventQueue {

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowNanos;
  private long scheduledCount;

  /**
   * An action at a time.
   *
   * @param nanos virtual time in ns
   * @param number order of scheduling
   * @param action what to do
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

  /** Schedules an action after a delay in ns. */
  void after(long delayNanos, Runnable action) {
    scheduledCount++;
    events.add(new Event(nowNanos + Math.max(0, delayNanos), scheduledCount, action));
  }

  /** Runs all events up to a time in ns. */
  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().nanos() <= endNanos) {
      Event event = events.remove();
      nowNanos = event.nanos();
      event.action().run();
    }
    nowNanos = endNanos;
  }
}
