package org.chivecross.cli.entry.http;

/** Runs tasks at their times. Implementations are safe for use by many threads. */
@FunctionalInterface
public interface TaskScheduler {

  /** Timer of data paths whose owner calls {@link DataPath#tick} in short periods instead. */
  TaskScheduler POLLED = (nanos, task) -> {};

  /**
   * Runs a task once, on any thread.
   *
   * @param nanos monotonic time at which it is due; it may have passed
   */
  void scheduleAt(long nanos, Runnable task);
}
