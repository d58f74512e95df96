package org.chivecross.cli.entry.http;

/**
 * When an exchange wants its timer to run. All state is guarded by the lock of the exchange, except
 * that {@link #wakeNanos} may be read without it.
 */
final class ExchangeTimer {

  private final TaskScheduler timer;
  private final Runnable task;
  private volatile long wakeNanos = Long.MAX_VALUE;
  private long armedNanos = Long.MAX_VALUE;
  private boolean woken;

  /** Creates a timer that is not set; {@code task} calls {@link #fires}. */
  ExchangeTimer(TaskScheduler timer, Runnable task) {
    this.timer = timer;
    this.task = task;
  }

  /** Returns the monotonic time at which the task is due. */
  long wakeNanos() {
    return wakeNanos;
  }

  /** Sets the time at which the task is due. */
  void set(long nanos) {
    wakeNanos = nanos;
    arm();
  }

  /** Asks for the task before its time. */
  void wake() {
    woken = true;
    timer.scheduleAt(System.nanoTime(), task);
  }

  /** Returns whether the task, which runs now, is due; sets the timer again when it is not. */
  boolean fires(long nowNanos) {
    armedNanos = Long.MAX_VALUE;
    if (!woken && nowNanos < wakeNanos) {
      arm();
      return false;
    }
    woken = false;
    return true;
  }

  /** Sets the timer, unless one is set that fires early enough. */
  private void arm() {
    if (wakeNanos < armedNanos) {
      armedNanos = wakeNanos;
      timer.scheduleAt(wakeNanos, task);
    }
  }
}
