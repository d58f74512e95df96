package org.chivecross.cli.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.chivecross.model.request.LoadReport;

/**
 * Simulated target with a fixed number of slots and a FIFO queue in virtual time. A change of speed
 * also applies to requests in service. Not thread-safe.
 */
final class SlottedTarget {

  private static final long SAMPLE_INTERVAL_NANOS = 5_000_000;

  private final EventQueue events;
  private final int slots;
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private final List<Work> inService = new ArrayList<>();
  private final ArrayDeque<LoadReport> delayedReports = new ArrayDeque<>();
  private final int delayedReportCount;
  private double speed = 1;
  private boolean failsRequests;
  private boolean reportsNoLoad;
  private boolean isLeaving;
  private int inTransit;
  private long busyNanos;
  private int queueLimit = Integer.MAX_VALUE;

  /** A request at a target. */
  static final class Work {
    private double remainingNanos;
    private long updatedAtNanos;
    private int endEventVersion;
    private final Consumer<Answer> onAnswer;

    Work(double nanos, Consumer<Answer> onAnswer) {
      this.remainingNanos = nanos;
      this.onAnswer = onAnswer;
    }
  }

  /**
   * Response of a target.
   *
   * @param succeeded whether the request was served
   * @param notRun whether the target shed the request before it ran
   * @param leaving whether the target reports that it is leaving
   * @param report load report of the target
   */
  record Answer(boolean succeeded, boolean notRun, boolean leaving, LoadReport report) {}

  /**
   * Creates an idle target.
   *
   * @param reportDelayNanos age of the load reports when the target sends them, in ns
   */
  SlottedTarget(EventQueue events, int slots, long reportDelayNanos) {
    this.events = events;
    this.slots = slots;
    delayedReportCount = (int) (reportDelayNanos / SAMPLE_INTERVAL_NANOS);
    if (delayedReportCount > 0) {
      sampleReport();
    }
  }

  int slots() {
    return slots;
  }

  /** Returns the number of requests in transit to the target, in service and queued. */
  int trueLoad() {
    return inTransit + inService.size() + queue.size();
  }

  void requestSent() {
    inTransit++;
  }

  long busyNanos() {
    return busyNanos;
  }

  void setFailsRequests(boolean newFailsRequests) {
    failsRequests = newFailsRequests;
  }

  void setReportsNoLoad(boolean newReportsNoLoad) {
    reportsNoLoad = newReportsNoLoad;
  }

  void setLeaving(boolean newLeaving) {
    isLeaving = newLeaving;
  }

  void setQueueLimit(int limit) {
    queueLimit = limit;
  }

  void arrive(Work work) {
    inTransit--;
    if (failsRequests) {
      work.onAnswer.accept(new Answer(false, false, isLeaving, report()));
      return;
    }
    if (inService.size() < slots) {
      start(work);
      return;
    }
    if (queue.size() >= queueLimit) {
      work.onAnswer.accept(new Answer(false, true, isLeaving, report()));
      return;
    }
    queue.add(work);
  }

  /** Removes a request that its sender has cancelled, without a response. */
  void cancel(Work work) {
    work.endEventVersion++;
    if (!queue.remove(work) && inService.remove(work)) {
      startNext();
    }
  }

  void setSpeed(double newSpeed) {
    for (Work work : inService) {
      updateRemainingWork(work);
    }
    speed = newSpeed;
    for (Work work : inService) {
      scheduleEnd(work);
    }
  }

  private void start(Work work) {
    inService.add(work);
    work.updatedAtNanos = events.now();
    scheduleEnd(work);
  }

  private void scheduleEnd(Work work) {
    work.endEventVersion++;
    int version = work.endEventVersion;
    events.after(
        (long) (work.remainingNanos / speed),
        () -> {
          if (work.endEventVersion == version) {
            end(work);
          }
        });
  }

  private void updateRemainingWork(Work work) {
    long now = events.now();
    work.remainingNanos = Math.max(0, work.remainingNanos - (now - work.updatedAtNanos) * speed);
    work.updatedAtNanos = now;
  }

  private void end(Work work) {
    busyNanos += events.now() - work.updatedAtNanos;
    inService.remove(work);
    startNext();
    work.onAnswer.accept(new Answer(true, false, isLeaving, report()));
  }

  private void startNext() {
    if (!queue.isEmpty()) {
      start(queue.remove());
    }
  }

  private LoadReport report() {
    if (reportsNoLoad) {
      return new LoadReport(0, 0, slots);
    }
    return delayedReportCount > 0 ? delayedReports.peekFirst() : currentLoad();
  }

  private LoadReport currentLoad() {
    return new LoadReport(inService.size(), queue.size(), slots);
  }

  private void sampleReport() {
    delayedReports.addLast(currentLoad());
    if (delayedReports.size() > delayedReportCount) {
      delayedReports.removeFirst();
    }
    events.after(SAMPLE_INTERVAL_NANOS, this::sampleReport);
  }
}
