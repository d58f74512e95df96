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
  private static final int QUEUE_BOUND = 512;

  private static final int HISTORY_LENGTH = 256;

  private final String address;
  private final int slots;
  private final ScheduledExecutorService timer;
  private final LongSupplier clock;
  private final Deque<Job> queue = new ArrayDeque<>();
  private final Deque<TimedReport> reports = new ArrayDeque<>();
  private Behaviour behaviour = Behaviour.NORMAL;
  private double noise = 1;
  private int inService;
  private long servedCount;

  /**
   * Work for the target.
   *
   * @param workMicros service time at normal speed, in µs
   * @param wanted whether it may still start; false once its caller gave up or its time is used up
   * @param started called when it takes a slot
   * @param finished called when it is done
   * @param dropped called when it was not wanted any more and did not run
   */
  record Job(
      long workMicros,
      BooleanSupplier wanted,
      Runnable started,
      Runnable finished,
      Runnable dropped) {}

  /**
   * Load at a moment.
   *
   * @param nanos monotonic time
   * @param report load then
   */
  private record TimedReport(long nanos, LoadReport report) {}

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
    startWaiting();
  }

  /** Sets the factor by which a noisy neighbour slows the target down; 1 for none. */
  synchronized void setNoise(double factor) {
    noise = factor;
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
    if (queue.size() >= QUEUE_BOUND) {
      return false;
    }
    queue.add(job);
    startWaiting();
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
    reports.addLast(new TimedReport(nanos, now));
    LoadReport stale = new LoadReport(0, 0, slots);
    while (!reports.isEmpty()
        && (reports.getFirst().nanos() <= cut || reports.size() > HISTORY_LENGTH)) {
      stale = reports.removeFirst().report();
    }
    return stale;
  }

  private void startWaiting() {
    int usable = behaviour.cold() ? 1 : slots;
    while (inService < usable && !queue.isEmpty()) {
      Job job = queue.removeFirst();
      if (!job.wanted().getAsBoolean()) {
        job.dropped().run();
        continue;
      }
      inService++;
      job.started().run();
      long micros = Math.round(job.workMicros() * behaviour.slowdown() * noise);
      timer.schedule(() -> finish(job), micros, TimeUnit.MICROSECONDS);
    }
  }

  private void finish(Job job) {
    synchronized (this) {
      inService--;
      servedCount++;
      startWaiting();
    }
    job.finished().run();
  }
}
