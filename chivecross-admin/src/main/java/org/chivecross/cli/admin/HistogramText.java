package org.chivecross.cli.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Formats histograms as text with bars. Stateless. */
final class HistogramText {

  private static final int BAR_WIDTH = 50;
  private static final double MILLIS_PER_SECOND = 1000;

  private HistogramText() {}

  /**
   * Formats one histogram as a line with its count and quantiles, and a bar for each bucket that is
   * not empty.
   *
   * @param name name of the metric, followed by its labels in braces
   * @param buckets Prometheus buckets: cumulative count by upper bound in seconds. The map must
   *     iterate in ascending order of bounds and end with +Infinity, whose count is the total.
   */
  static String format(String name, Map<Double, Long> buckets) {
    List<Double> bounds = new ArrayList<>(buckets.keySet());
    long[] counts = bucketCounts(buckets, bounds);
    long total = buckets.isEmpty() ? 0 : buckets.getOrDefault(bounds.get(bounds.size() - 1), 0L);
    long largestCount = 1;
    for (long count : counts) {
      largestCount = Math.max(largestCount, count);
    }
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            "%s  count %d  p50 %s  p99 %s  p99.9 %s%n",
            name,
            total,
            quantile(buckets, bounds, 0.5),
            quantile(buckets, bounds, 0.99),
            quantile(buckets, bounds, 0.999)));
    for (int i = 0; i < counts.length; i++) {
      if (counts[i] == 0) {
        continue;
      }
      int width = (int) Math.max(1, counts[i] * BAR_WIDTH / largestCount);
      text.append(
          String.format(
              Locale.ROOT,
              "  <= %12s %10d %s%n",
              formatBound(bounds.get(i)),
              counts[i],
              "#".repeat(width)));
    }
    return text.toString();
  }

  /** Returns the count of each bucket alone: its cumulative count less that of the one before. */
  private static long[] bucketCounts(Map<Double, Long> buckets, List<Double> bounds) {
    long[] counts = new long[bounds.size()];
    long previous = 0;
    for (int i = 0; i < counts.length; i++) {
      long cumulative = buckets.getOrDefault(bounds.get(i), previous);
      counts[i] = cumulative - previous;
      previous = cumulative;
    }
    return counts;
  }

  /**
   * Returns the upper bound of the first bucket whose cumulative count reaches a fraction of the
   * total, or "-" if nothing was counted.
   */
  private static String quantile(Map<Double, Long> buckets, List<Double> bounds, double fraction) {
    if (bounds.isEmpty()) {
      return "-";
    }
    long total = buckets.getOrDefault(bounds.get(bounds.size() - 1), 0L);
    if (total == 0) {
      return "-";
    }
    for (double upper : bounds) {
      if (buckets.getOrDefault(upper, 0L) >= fraction * total) {
        return "<=" + formatBound(upper);
      }
    }
    return "-";
  }

  private static String formatBound(double seconds) {
    return Double.isInfinite(seconds)
        ? "more"
        : String.format(Locale.ROOT, "%.3f ms", seconds * MILLIS_PER_SECOND);
  }
}
