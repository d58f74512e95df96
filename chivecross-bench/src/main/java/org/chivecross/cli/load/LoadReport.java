package org.chivecross.cli.load;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of a run, by service and class. Not thread-safe: the run guards every update
 * with the lock of the report.
 */
final class LoadReport {

  private static final long MAX_LATENCY_NANOS = 120_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_MILLI = 1_000_000.0;

  private final Map<String, Row> rows = new TreeMap<>();

  /** Counts and latencies of one service and class. */
  static final class Row {
    private final Histogram latency = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    private final Map<String, Long> answersByTarget = new TreeMap<>();
    private final long[] countsByVerdict = new long[Verdict.values().length];
    private long sent;
    private long resent;
    private long damaged;

    Histogram latency() {
      return latency;
    }

    long sent() {
      return sent;
    }

    long count(Verdict verdict) {
      return countsByVerdict[verdict.ordinal()];
    }

    long damaged() {
      return damaged;
    }

    long resent() {
      return resent;
    }

    double percentileMillis(double percentile) {
      return latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns the highest answer count of a target divided by the mean; 0 without answers. */
    double spread() {
      Collection<Long> counts = answersByTarget.values();
      double mean = counts.stream().mapToLong(Long::longValue).average().orElse(0);
      long max = counts.stream().mapToLong(Long::longValue).max().orElse(0);
      return mean == 0 ? 0 : max / mean;
    }
  }

  /** Counts a request that is about to be sent. */
  void recordSent(PlannedRequest planned) {
    row(planned).sent++;
  }

  /** Counts the result of a request. */
  void recordEnd(CallResult result) {
    Row row = row(result.request());
    row.countsByVerdict[result.verdict().ordinal()]++;
    row.resent += result.attempts() - 1;
    if (!result.isIntact()) {
      row.damaged++;
    }
    if (result.verdict() == Verdict.ANSWERED) {
      if (result.request().isMeasured()) {
        row.latency.recordValue(Math.min(result.latencyNanos(), MAX_LATENCY_NANOS));
      }
      row.answersByTarget.merge(result.target(), 1L, Long::sum);
    }
  }

  Map<String, Row> rows() {
    return rows;
  }

  /** Returns the number of requests that were sent but have no result. */
  long missing() {
    long missing = 0;
    for (Row row : rows.values()) {
      missing += row.sent;
      for (long count : row.countsByVerdict) {
        missing -= count;
      }
    }
    return missing;
  }

  /** Returns the number of answers that were truncated or belonged to another request. */
  long damaged() {
    return rows.values().stream().mapToLong(Row::damaged).sum();
  }

  private Row row(PlannedRequest planned) {
    RequestKind kind = planned.kind();
    String name = kind.service() + "/" + kind.className();
    return rows.computeIfAbsent(name, any -> new Row());
  }
}
