package org.chivecross.cli.entry.fleet;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.chivecross.cli.entry.http.TaskScheduler;
import org.tinylog.Logger;

/**
 * Scheduler that runs delayed and periodic tasks on one daemon thread. An exception of a task is
 * logged and affects no other task. Thread-safe.
 *
 * <p>Invariant: {@code idleSinceNanos} is accessed by that thread only.
 */
final class EntryScheduler implements TaskScheduler {

  /** Receives, on the scheduler's thread, when each task was due and when it starts. */
  @FunctionalInterface
  interface WakeUpListener {

    /** Listener that does nothing. */
    WakeUpListener NONE = (dueNanos, idleSinceNanos, nowNanos) -> {};

    /**
     * Called before a task runs.
     *
     * @param dueNanos monotonic time at which the task was due; not before it was scheduled
     * @param idleSinceNanos monotonic time at which the previous task ended
     * @param nowNanos monotonic time now
     */
    void wokeUp(long dueNanos, long idleSinceNanos, long nowNanos);
  }

  private final ScheduledThreadPoolExecutor executor;
  private final WakeUpListener listener;
  private long idleSinceNanos = System.nanoTime();

  EntryScheduler(String name, WakeUpListener listener) {
    this.listener = listener;
    executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  @Override
  public void scheduleAt(long nanos, Runnable task) {
    long now = System.nanoTime();
    long delay = Math.max(0, nanos - now);
    try {
      executor.schedule(() -> run(task, now + delay), delay, TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      Logger.debug("scheduled task discarded: the scheduler has been stopped");
    }
  }

  /** Schedules a task to run as soon as the thread is free. */
  void execute(Runnable task) {
    scheduleAt(System.nanoTime(), task);
  }

  /** Runs a task periodically, with a delay of {@code periodMillis} between two runs. */
  void every(long periodMillis, Runnable task) {
    long firstNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(periodMillis);
    Runnable periodic =
        new Runnable() {
          private long dueNanos = firstNanos;

          @Override
          public void run() {
            EntryScheduler.this.run(task, dueNanos);
            dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(periodMillis);
          }
        };
    executor.scheduleWithFixedDelay(periodic, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  void stop() {
    executor.shutdownNow();
  }

  private void run(Runnable task, long dueNanos) {
    try {
      listener.wokeUp(dueNanos, idleSinceNanos, System.nanoTime());
      task.run();
    } catch (RuntimeException | StackOverflowError e) {
      Logger.error(e, "scheduled task failed; other tasks are unaffected");
    } finally {
      idleSinceNanos = System.nanoTime();
    }
  }
}
