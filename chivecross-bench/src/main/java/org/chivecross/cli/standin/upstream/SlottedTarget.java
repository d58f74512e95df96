package org.chivecross.cli.standin.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.chivecross.model.request.LoadReport;

/**
 * A target with a fixed number of slots and a FIFO queue of jobs that wait for a slot.
 *
 * <p>Invariant: at most {@code slots} jobs are in service; a job waits only while all usable slots
 * are occupied. A cold target has one usable slot. Thread-safe: all state is guarded by this
 * object.
 */
final class SlottedTarget {

  /** Longest queue; the target rejects further jobs. */
  private static final int MAX_QUEUE_LENGTH = 512;

  private static final int MAX_KEPT_REPORTS = 256;

  private final String address;
  private final int slots;
  private final ScheduledExecutorService timer;
  private final LongSupplier clock;
  private final Deque<Job> queue = new ArrayDeque<>();
  private final Deque<TimedReport> recentReports = new ArrayDeque<>();
  private Behaviour behaviour = Behaviour.NORMAL;
  private double noiseFactor = 1;
  private int inService;
  private long servedCount;

  /**
   * Work of one request.
   *
   * @param workMicros service time at nominal speed, in µs
   * @param isAwaited whether the job may still start; false once its caller has gone or its
   *     deadline has passed
   * @param onStart called when the job takes a slot
   * @param onFinish called when the job has finished
   * @param onDrop called instead of the other two when the job leaves the queue without running
   */
  record Job(
      long workMicros,
      BooleanSupplier isAwaited,
      Runnable onStart,
      Runnable onFinish,
      Runnable onDrop) {}

  /**
   * Load report with the time at which it was taken.
   *
   * @param takenNanos monotonic time, in ns
   * @param report load at that time
   */
  private record TimedReport(long takenNanos, LoadReport report) {}

  SlottedTarget(String address, int slots, ScheduledExecutorService timer, LongSupplier clock) {
    this.address = address;
    this.slots = slots;
    this.timer = timer;
    this.clock = clock;
  }

  String address() {
    return address;
  }

  synchronized Behaviour behaviour() {
    return behaviour;
  }

  synchronized void setBehaviour(Behaviour next) {
    behaviour = next;
    startQueuedJobs();
  }

  /** Sets the factor by which a noisy neighbour increases the service time; 1 for none. */
  synchronized void setNoiseFactor(double factor) {
    noiseFactor = factor;
  }

  synchronized long servedCount() {
    return servedCount;
  }

  /**
   * Queues a job and starts it when a slot is free.
   *
   * @return false if the queue is full; the job is then discarded without calling any of its
   *     actions
   */
  synchronized boolean submit(Job job) {
    if (queue.size() >= MAX_QUEUE_LENGTH) {
      return false;
    }
    queue.add(job);
    startQueuedJobs();
    return true;
  }

  /** Returns the load that the target reports, which its behaviour may make stale or zero. */
  synchronized LoadReport report() {
    if (behaviour.idleLoadReported()) {
      return new LoadReport(0, 0, slots);
    }
    LoadReport now = new LoadReport(inService, queue.size(), slots);
    if (behaviour.reportDelayMillis() == 0) {
      return now;
    }
    long nanos = clock.getAsLong();
    long newestStaleNanos = nanos - TimeUnit.MILLISECONDS.toNanos(behaviour.reportDelayMillis());
    recentReports.addLast(new TimedReport(nanos, now));
    LoadReport stale = new LoadReport(0, 0, slots);
    while (!recentReports.isEmpty()
        && (recentReports.getFirst().takenNanos() <= newestStaleNanos
            || recentReports.size() > MAX_KEPT_REPORTS)) {
      stale = recentReports.removeFirst().report();
    }
    return stale;
  }

  private void startQueuedJobs() {
    int usableSlots = behaviour.cold() ? 1 : slots;
    while (inService < usableSlots && !queue.isEmpty()) {
      Job job = queue.removeFirst();
      if (!job.isAwaited().getAsBoolean()) {
        job.onDrop().run();
        continue;
      }
      inService++;
      job.onStart().run();
      long micros = Math.round(job.workMicros() * behaviour.slowdown() * noiseFactor);
      timer.schedule(() -> finish(job), micros, TimeUnit.MICROSECONDS);
    }
  }

  private void finish(Job job) {
    synchronized (this) {
      inService--;
      servedCount++;
      startQueuedJobs();
    }
    job.onFinish().run();
  }
}
