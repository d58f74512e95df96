package org.chivecross.cli.entry.http;

/** Runs tasks at their times. Implementations are safe for use by many threads. */
@FunctionalInterface
public interface WakeTimer {

  /** Timer of data paths whose owner calls {@link DataPath#tick} in short periods instead. */
  WakeTimer POLLED = (nanos, task) -> {};

  /**
   * Runs a task once, on any thread.
   *
   * @param nanos monotonic time at which it is due; it may have passed
   */
  void wakeAt(long nanos, Runnable task);
}
