package org.chivecross.model.table;

import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLongArray;
import org.chivecross.model.request.LoadReport;

/**
 * Load columns of the targets: what this entry has in flight and what the targets reported.
 *
 * <p>Invariant: own counts are exact; everything else may be lost when two threads write at once,
 * which the next report mends. Safe for use by many threads.
 */
public final class TargetLoads {

  private static final int COUNT_BITS = 16;
  private static final int COUNT_MASK = 0xFFFF;
  private static final int LATENCY_SAMPLES = 8;
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

  /** Counts an attempt that was given up; this is no progress of the target. */
  public void cancel(int row) {
    inFlight.decrementAndGet(row);
  }

  /** Notes that a target kept an attempt waiting for too long. */
  public void recordOverdueAttempt(int row, long nowNanos) {
    lastOverdueNanos.set(row, nowNanos);
  }

  /** Notes that a target answered in the usual time. */
  public void clearOverdue(int row) {
    if (lastOverdueNanos.get(row) != TargetTable.NEVER) {
      lastOverdueNanos.set(row, TargetTable.NEVER);
    }
  }

  /** Returns when a target last kept an attempt waiting, or {@link TargetTable#NEVER}. */
  public long lastOverdueNanos(int row) {
    return lastOverdueNanos.get(row);
  }

  /**
   * Returns when the target last showed progress: an attempt ended, or one started while none was
   * in flight.
   */
  public long progressNanos(int row) {
    return progressNanos.get(row);
  }

  /** Keeps the newest report of a target. */
  public void report(int row, LoadReport report, long nowNanos) {
    reports.set(row, ((long) clamp(report.inService()) << COUNT_BITS) | clamp(report.queued()));
    startsSinceReport.set(row, 0);
    reportNanos.set(row, nowNanos);
  }

  /** Returns when the newest report came, or {@link TargetTable#NEVER}. */
  public long reportNanos(int row) {
    return reportNanos.get(row);
  }

  /** Returns the requests in service of the newest report. */
  public int reportedInService(int row) {
    return (int) (reports.get(row) >>> COUNT_BITS) & COUNT_MASK;
  }

  /** Returns the waiting requests of the newest report. */
  public int reportedQueued(int row) {
    return (int) reports.get(row) & COUNT_MASK;
  }

  /** Returns the requests in service and waiting of the newest report. */
  public int reported(int row) {
    long report = reports.get(row);
    return (int) (report >>> COUNT_BITS) + (int) (report & COUNT_MASK);
  }

  /** Returns the attempts that started after the newest report came. */
  public int startsSinceReport(int row) {
    return startsSinceReport.get(row);
  }

  /** Takes the latency of an attempt into the moving mean. */
  public void recordLatency(int row, long nanos) {
    long mean = latencyNanos.get(row);
    latencyNanos.set(row, mean == 0 ? nanos : mean + (nanos - mean) / LATENCY_SAMPLES);
  }

  /** Returns the moving mean of the latency in ns; 0 before the first attempt ended. */
  public long latencyNanos(int row) {
    return latencyNanos.get(row);
  }

  /**
   * Counts whether a report contradicts what this entry saw. Contradictions weigh more than
   * agreement, so that a target that lies half of the time is not believed.
   */
  public void recordReportCheck(int row, boolean contradicts) {
    int doubt = unreliabilityPoints.get(row);
    if (contradicts) {
      unreliabilityPoints.set(row, Math.min(MAX_UNRELIABILITY_POINTS, doubt + CONTRADICTION_POINTS));
    } else if (doubt > 0) {
      unreliabilityPoints.set(row, doubt - 1);
    }
  }

  /** Forgets earlier contradictions. */
  public void resetUnreliability(int row) {
    unreliabilityPoints.set(row, 0);
  }

  /** Returns how little the reports of a target are to be believed, 0 to 1. */
  public double reportUnreliability(int row) {
    return (double) unreliabilityPoints.get(row) / MAX_UNRELIABILITY_POINTS;
  }

  private static int clamp(int count) {
    return Math.max(0, Math.min(COUNT_MASK, count));
  }
}
