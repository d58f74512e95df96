package org.chivecross.cli.entry.http;

/**
 * The timer of one exchange, whose task is due at the time that was set last. All state is guarded
 * by the lock of the exchange, except that {@link #dueNanos} may be read without it.
 */
final class ExchangeTimer {

  private final TaskScheduler scheduler;
  private final Runnable task;
  private volatile long dueNanos = Long.MAX_VALUE;
  private long armedNanos = Long.MAX_VALUE;
  private boolean fireRequested;

  /** Creates a timer that is not set; {@code task} calls {@link #tryFire}. */
  ExchangeTimer(TaskScheduler scheduler, Runnable task) {
    this.scheduler = scheduler;
    this.task = task;
  }

  /** Returns the monotonic time at which the task is due. */
  long dueNanos() {
    return dueNanos;
  }

  /** Sets the time at which the task is due. */
  void set(long nanos) {
    dueNanos = nanos;
    arm();
  }

  /** Schedules the task for now, before it is due. */
  void fireNow() {
    fireRequested = true;
    scheduler.scheduleAt(System.nanoTime(), task);
  }

  /**
   * Returns whether the task, which runs now, is due or was requested by {@link #fireNow}. If not,
   * schedules it again.
   */
  boolean tryFire(long nowNanos) {
    armedNanos = Long.MAX_VALUE;
    if (!fireRequested && nowNanos < dueNanos) {
      arm();
      return false;
    }
    fireRequested = false;
    return true;
  }

  /** Schedules the task, unless it is already scheduled early enough. */
  private void arm() {
    if (dueNanos < armedNanos) {
      armedNanos = dueNanos;
      scheduler.scheduleAt(dueNanos, task);
    }
  }
}
