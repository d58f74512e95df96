package org.chivecross.cli.entry.http;

/** Runs tasks at given times. Implementations are safe for use by many threads. */
@FunctionalInterface
public interface TaskScheduler {

  /** Does nothing; for data paths whose owner calls {@link DataPath#tick} periodically instead. */
  TaskScheduler POLLED = (nanos, task) -> {};

  /**
   * Runs a task once, on any thread.
   *
   * @param nanos monotonic time at which the task is due; may be in the past
   */
  void scheduleAt(long nanos, Runnable task);
}
