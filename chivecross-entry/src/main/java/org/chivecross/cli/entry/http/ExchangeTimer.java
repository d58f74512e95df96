package org.chivecross.cli.entry.http;

/**
 * When an exchange wants its timer to run. All state is guarded by the lock of the exchange, except
 * that {@link #dueNanos} may be read without it.
 */
final class ExchangeTimer {

  private final TaskScheduler timer;
  private final Runnable task;
  private volatile long dueNanos = Long.MAX_VALUE;
  private long armedNanos = Long.MAX_VALUE;
  private boolean fireRequested;

  /** Creates a timer that is not set; {@code task} calls {@link #tryFire}. */
  ExchangeTimer(TaskScheduler timer, Runnable task) {
    this.timer = timer;
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

  /** Asks for the task before its time. */
  void fireNow() {
    fireRequested = true;
    timer.scheduleAt(System.nanoTime(), task);
  }

  /** Returns whether the task, which runs now, is due; sets the timer again when it is not. */
  boolean tryFire(long nowNanos) {
    armedNanos = Long.MAX_VALUE;
    if (!fireRequested && nowNanos < dueNanos) {
      arm();
      return false;
    }
    fireRequested = false;
    return true;
  }

  /** Sets the timer, unless one is set that fires early enough. */
  private void arm() {
    if (dueNanos < armedNanos) {
      armedNanos = dueNanos;
      timer.scheduleAt(dueNanos, task);
    }
  }
}
