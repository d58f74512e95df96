package org.chivecross.cli.entry.fleet;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.chivecross.cli.entry.http.TaskScheduler;
import org.tinylog.Logger;

/**
 * Scheduler that runs delayed and periodic tasks on one daemon thread. An exception of a task is
 * logged and affects no other task. Thread-safe.
 */
final class EntryScheduler implements TaskScheduler {

  private final ScheduledThreadPoolExecutor executor;

  EntryScheduler(String name) {
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
    long delay = Math.max(0, nanos - System.nanoTime());
    try {
      executor.schedule(() -> runSafely(task), delay, TimeUnit.NANOSECONDS);
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
    executor.scheduleWithFixedDelay(
        () -> runSafely(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  void stop() {
    executor.shutdownNow();
  }

  private static void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      Logger.error(e, "scheduled task failed; other tasks are unaffected");
    }
  }
}
