package org.chivecross.cli.standin.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.chivecross.model.request.LoadReport;

/**
 * A target with a fixed number of slots and a FIFO queue before them.
 *
 * <p>Invariant: at most {@code slots} jobs are in service; a job waits only while all are taken.
 * Thread-safe: all state is guarded by this object.
 */
final class SlottedTarget {

  /** Longest queue before the target sheds. */
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
   * Work for the target.
   *
   * @param workMicros service time at normal speed, in µs
   * @param isAwaited whether it may still start; false once its caller gave up or its time is used
   *     up
   * @param onStart called when it takes a slot
   * @param onFinish called when it is done
   * @param onDrop called when it was not wanted any more and did not run
   */
  record Job(
      long workMicros,
      BooleanSupplier isAwaited,
      Runnable onStart,
      Runnable onFinish,
      Runnable onDrop) {}

  /**
   * Load at a moment.
   *
   * @param takenNanos monotonic time
   * @param report load then
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

  /** Sets the factor by which a noisy neighbour slows the target down; 1 for none. */
  synchronized void setNoiseFactor(double factor) {
    noiseFactor = factor;
  }

  synchronized long servedCount() {
    return servedCount;
  }

  /**
   * Takes a job.
   *
   * @return false when the queue is full; nothing was run then
   */
  synchronized boolean submit(Job job) {
    if (queue.size() >= MAX_QUEUE_LENGTH) {
      return false;
    }
    queue.add(job);
    startQueuedJobs();
    return true;
  }

  /** Returns the load as the target reports it, which may be late or wrong. */
  synchronized LoadReport report() {
    if (behaviour.idleLoadReported()) {
      return new LoadReport(0, 0, slots);
    }
    LoadReport now = new LoadReport(inService, queue.size(), slots);
    if (behaviour.reportDelayMillis() == 0) {
      return now;
    }
    long nanos = clock.getAsLong();
    long cut = nanos - TimeUnit.MILLISECONDS.toNanos(behaviour.reportDelayMillis());
    recentReports.addLast(new TimedReport(nanos, now));
    LoadReport stale = new LoadReport(0, 0, slots);
    while (!recentReports.isEmpty()
        && (recentReports.getFirst().takenNanos() <= cut
            || recentReports.size() > MAX_KEPT_REPORTS)) {
      stale = recentReports.removeFirst().report();
    }
    return stale;
  }

  private void startQueuedJobs() {
    int usable = behaviour.cold() ? 1 : slots;
    while (inService < usable && !queue.isEmpty()) {
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
