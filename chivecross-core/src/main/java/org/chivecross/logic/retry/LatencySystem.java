package org.chivecross.logic.retry;

import java.util.concurrent.atomic.AtomicLongArray;
import org.chivecross.model.table.LatencyTable;

/**
 * Derives time-outs from the latency histogram of each service. Works on a part of the rows in each
 * tick. The results may be read by any thread; the tick is not thread-safe.
 */
public final class LatencySystem {

  private static final int TICKS_FOR_ALL_ROWS = 50;
  private static final int ROUNDS_TO_HALF = 8;
  private static final int MIN_SAMPLES = 100;
  private static final double SILENCE_QUANTILE = 0.99;
  private static final int SILENCE_FACTOR = 8;
  private static final long MIN_SILENCE_NANOS = 200_000_000L;
  private static final long MAX_SILENCE_NANOS = 5_000_000_000L;
  private static final long FIRST_SILENCE_NANOS = 1_000_000_000L;

  private final LatencyTable latencies;
  private final AtomicLongArray hedgeNanos;
  private final AtomicLongArray silenceNanos;
  private int ticks;

  /** Creates a system for at most {@code services} rows. */
  public LatencySystem(LatencyTable latencies, int services) {
    this.latencies = latencies;
    hedgeNanos = new AtomicLongArray(services);
    silenceNanos = new AtomicLongArray(services);
    for (int row = 0; row < services; row++) {
      forget(row);
    }
  }

  /** Starts a row without any latency. */
  public void forget(int row) {
    hedgeNanos.set(row, RetryControl.NO_HEDGE);
    silenceNanos.set(row, FIRST_SILENCE_NANOS);
  }

  /** Updates the rows that are due in this tick. */
  public void tick(int[] rows, double[] hedgeFractions) {
    ticks++;
    boolean halving = ticks / TICKS_FOR_ALL_ROWS % ROUNDS_TO_HALF == 0;
    for (int i = ticks % TICKS_FOR_ALL_ROWS; i < rows.length; i += TICKS_FOR_ALL_ROWS) {
      update(rows[i], hedgeFractions[i]);
      if (halving) {
        latencies.halve(rows[i]);
      }
    }
  }

  /** Returns the wait after which a read is hedged, or {@link RetryControl#NO_HEDGE}. */
  public long hedgeNanos(int row) {
    return hedgeNanos.get(row);
  }

  /** Returns the wait for a first byte after which a connection counts as silent, in ns. */
  public long silenceNanos(int row) {
    return silenceNanos.get(row);
  }

  private void update(int row, double hedgeFraction) {
    long count = latencies.count(row);
    if (count < MIN_SAMPLES) {
      return;
    }
    long silence = SILENCE_FACTOR * latencies.quantileNanos(row, SILENCE_QUANTILE, count);
    silenceNanos.set(row, Math.max(MIN_SILENCE_NANOS, Math.min(MAX_SILENCE_NANOS, silence)));
    hedgeNanos.set(
        row,
        hedgeFraction <= 0
            ? RetryControl.NO_HEDGE
            : latencies.quantileNanos(row, 1 - hedgeFraction, count));
  }
}
