package org.chivecross.model.table;

import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Latency histograms with logarithmic buckets, one for each cell. {@link #halve} reduces the weight
 * of old values.
 *
 * <p>Invariant: the error of a quantile is at most one bucket, a factor of 1.25. Safe for use by
 * many threads; counts added while a cell is halved may be lost.
 */
public final class LatencyTable {

  private static final int BUCKETS_PER_OCTAVE = 4;

  /** Binary logarithm of the lower bound of the first octave; lower latencies count in bucket 0. */
  private static final int FIRST_OCTAVE_LOG2_NANOS = 14;

  private static final int OCTAVES = 24;
  private static final int BUCKETS = OCTAVES * BUCKETS_PER_OCTAVE;

  private final AtomicIntegerArray counts;

  /** Creates an empty histogram for each cell. */
  public LatencyTable(int cells) {
    counts = new AtomicIntegerArray(cells * BUCKETS);
  }

  /** Counts a latency in ns. */
  public void record(int cell, long nanos) {
    counts.incrementAndGet(cell * BUCKETS + bucket(nanos));
  }

  /** Returns the number of latencies in a cell. */
  public long count(int cell) {
    long sum = 0;
    for (int b = 0; b < BUCKETS; b++) {
      sum += counts.get(cell * BUCKETS + b);
    }
    return sum;
  }

  /**
   * Returns the upper bound of the bucket that holds a quantile, in ns.
   *
   * @param fraction quantile from 0 to 1
   * @param count result of {@link #count}, above 0
   */
  public long quantileNanos(int cell, double fraction, long count) {
    double remaining = fraction * count;
    for (int b = 0; b < BUCKETS; b++) {
      remaining -= counts.get(cell * BUCKETS + b);
      if (remaining <= 0) {
        return upperNanos(b);
      }
    }
    return upperNanos(BUCKETS - 1);
  }

  /** Halves all counts of a cell. */
  public void halve(int cell) {
    for (int b = 0; b < BUCKETS; b++) {
      int index = cell * BUCKETS + b;
      int old = counts.get(index);
      if (old > 0) {
        counts.addAndGet(index, -(old + 1) / 2);
      }
    }
  }

  private static int bucket(long nanos) {
    int octave = Long.SIZE - 1 - Long.numberOfLeadingZeros(Math.max(1, nanos));
    if (octave < FIRST_OCTAVE_LOG2_NANOS) {
      return 0;
    }
    int quarter = (int) (nanos >>> (octave - 2)) & (BUCKETS_PER_OCTAVE - 1);
    return Math.min(BUCKETS - 1, (octave - FIRST_OCTAVE_LOG2_NANOS) * BUCKETS_PER_OCTAVE + quarter);
  }

  private static long upperNanos(int bucket) {
    int octave = FIRST_OCTAVE_LOG2_NANOS + bucket / BUCKETS_PER_OCTAVE;
    int quarter = bucket % BUCKETS_PER_OCTAVE;
    return (1L << octave) + ((quarter + 1L) << (octave - 2));
  }
}
