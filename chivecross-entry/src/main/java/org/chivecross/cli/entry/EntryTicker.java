package org.chivecross.cli.entry;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.tinylog.Logger;

/**
 * Runs the periodic tasks of an entry on one thread. Each task receives the monotonic time in ns.
 * An exception of a task is logged, and the task runs again in the next period. Thread-safe.
 */
final class EntryTicker {

  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "ticker");
            thread.setDaemon(true);
            return thread;
          });

  private final Queue<Future<?>> scheduledTasks = new ConcurrentLinkedQueue<>();

  /** Runs tasks periodically, in order, with a delay of {@code periodMillis} between two runs. */
  void every(long periodMillis, List<LongConsumer> tasks) {
    Runnable run = () -> tasks.forEach(EntryTicker::runSafely);
    scheduledTasks.add(
        executor.scheduleWithFixedDelay(run, periodMillis, periodMillis, TimeUnit.MILLISECONDS));
  }

  /** Schedules a task to run once, as soon as the thread is free. */
  void once(LongConsumer task) {
    scheduledTasks.add(executor.schedule(() -> runSafely(task), 0, TimeUnit.MILLISECONDS));
  }

  void stop() {
    scheduledTasks.forEach(task -> task.cancel(false));
    executor.shutdownNow();
  }

  private static void runSafely(LongConsumer task) {
    try {
      task.accept(System.nanoTime());
    } catch (RuntimeException e) {
      Logger.error(e, "task of the ticker failed; periodic tasks run again in the next period");
    }
  }
}
