package org.chivecross.model.table;

import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLongArray;
import org.chivecross.model.request.LoadReport;

/**
 * Load columns of the targets: the attempts that this entry has in flight and the load that the
 * targets reported.
 *
 * <p>Invariant: the number of own attempts in flight is exact; any other value may be lost when two
 * threads write at the same time, and the next report corrects it. Safe for use by many threads.
 */
public final class TargetLoads {

  private static final int COUNT_BITS = 16;
  private static final int COUNT_MASK = 0xFFFF;

  /** Reciprocal of the weight of a new latency in the moving mean. */
  private static final int LATENCY_EWMA_DIVISOR = 8;

  private static final int MAX_UNRELIABILITY_POINTS = 64;
  private static final int CONTRADICTION_POINTS = 16;

  private final AtomicIntegerArray inFlight;
  private final AtomicIntegerArray startsSinceReport;
  private final AtomicLongArray reports;
  private final AtomicLongArray reportNanos;
  private final AtomicLongArray progressNanos;
  private final AtomicLongArray latencyNanos;
  private final AtomicIntegerArray unreliabilityPoints;
  private final AtomicLongArray lastOverdueNanos;

  TargetLoads(int capacity) {
    inFlight = new AtomicIntegerArray(capacity);
    startsSinceReport = new AtomicIntegerArray(capacity);
    reports = new AtomicLongArray(capacity);
    reportNanos = new AtomicLongArray(capacity);
    progressNanos = new AtomicLongArray(capacity);
    latencyNanos = new AtomicLongArray(capacity);
    unreliabilityPoints = new AtomicIntegerArray(capacity);
    lastOverdueNanos = new AtomicLongArray(capacity);
  }

  void clear(int row) {
    inFlight.set(row, 0);
    startsSinceReport.set(row, 0);
    reports.set(row, 0);
    reportNanos.set(row, TargetTable.NEVER);
    progressNanos.set(row, 0);
    latencyNanos.set(row, 0);
    unreliabilityPoints.set(row, 0);
    lastOverdueNanos.set(row, TargetTable.NEVER);
  }

  /** Returns the attempts of this entry in flight on a target. */
  public int inFlight(int row) {
    return inFlight.get(row);
  }

  /** Counts an attempt that starts. */
  public void start(int row, long nowNanos) {
    if (inFlight.getAndIncrement(row) == 0) {
      progressNanos.set(row, nowNanos);
    }
    startsSinceReport.incrementAndGet(row);
  }

  /** Counts an attempt that ended. */
  public void end(int row, long nowNanos) {
    inFlight.decrementAndGet(row);
    progressNanos.set(row, nowNanos);
  }

  /** Counts an attempt that was abandoned; this does not count as progress of the target. */
  public void cancel(int row) {
    inFlight.decrementAndGet(row);
  }

  /** Records that an attempt was overdue when it was abandoned. */
  public void recordOverdueAttempt(int row, long nowNanos) {
    lastOverdueNanos.set(row, nowNanos);
  }

  /** Records that the target answered within the expected time, which ends the overdue state. */
  public void clearOverdue(int row) {
    if (lastOverdueNanos.get(row) != TargetTable.NEVER) {
      lastOverdueNanos.set(row, TargetTable.NEVER);
    }
  }

  /** Returns the time of the last overdue attempt, or {@link TargetTable#NEVER}. */
  public long lastOverdueNanos(int row) {
    return lastOverdueNanos.get(row);
  }

  /**
   * Returns the time of the last progress of the target: an attempt ended, or one started while
   * none was in flight.
   */
  public long progressNanos(int row) {
    return progressNanos.get(row);
  }

  /** Stores the newest load report of a target. */
  public void report(int row, LoadReport report, long nowNanos) {
    reports.set(row, ((long) clamp(report.inService()) << COUNT_BITS) | clamp(report.queued()));
    startsSinceReport.set(row, 0);
    reportNanos.set(row, nowNanos);
  }

  /** Returns the arrival time of the newest report, or {@link TargetTable#NEVER}. */
  public long reportNanos(int row) {
    return reportNanos.get(row);
  }

  /** Returns the requests in service according to the newest report. */
  public int reportedInService(int row) {
    return (int) (reports.get(row) >>> COUNT_BITS) & COUNT_MASK;
  }

  /** Returns the queued requests according to the newest report. */
  public int reportedQueued(int row) {
    return (int) reports.get(row) & COUNT_MASK;
  }

  /** Returns the requests in service and queued according to the newest report. */
  public int reported(int row) {
    long report = reports.get(row);
    return (int) (report >>> COUNT_BITS) + (int) (report & COUNT_MASK);
  }

  /** Returns the number of attempts started since the newest report arrived. */
  public int startsSinceReport(int row) {
    return startsSinceReport.get(row);
  }

  /** Adds the latency of an attempt to the moving mean. */
  public void recordLatency(int row, long nanos) {
    long mean = latencyNanos.get(row);
    latencyNanos.set(row, mean == 0 ? nanos : mean + (nanos - mean) / LATENCY_EWMA_DIVISOR);
  }

  /** Returns the moving mean of the latency in ns; 0 before the first attempt ended. */
  public long latencyNanos(int row) {
    return latencyNanos.get(row);
  }

  /**
   * Records whether a report contradicts what this entry observed. A contradiction adds more points
   * than an agreement removes, so that a target whose reports are wrong half of the time counts as
   * unreliable.
   */
  public void recordReportCheck(int row, boolean contradicts) {
    int points = unreliabilityPoints.get(row);
    if (contradicts) {
      unreliabilityPoints.set(
          row, Math.min(MAX_UNRELIABILITY_POINTS, points + CONTRADICTION_POINTS));
    } else if (points > 0) {
      unreliabilityPoints.set(row, points - 1);
    }
  }

  /** Resets the unreliability of the reports of a target. */
  public void resetUnreliability(int row) {
    unreliabilityPoints.set(row, 0);
  }

  /**
   * Returns the unreliability of the reports of a target: 0 if they are reliable, 1 if they must be
   * ignored.
   */
  public double reportUnreliability(int row) {
    return (double) unreliabilityPoints.get(row) / MAX_UNRELIABILITY_POINTS;
  }

  private static int clamp(int count) {
    return Math.max(0, Math.min(COUNT_MASK, count));
  }
}
