package org.chivecross.logic.retry;

import java.util.concurrent.atomic.AtomicLongArray;
import org.chivecross.model.table.LatencyTable;

/**
 * Derives first-byte timeouts and hedge delays from the latency histogram of each service. Each
 * tick updates a part of the rows. Any thread may read the results; the tick is not thread-safe.
 */
public final class LatencySystem {

  private static final int TICKS_PER_PASS = 50;
  private static final int PASSES_PER_HALVING = 8;
  private static final int MIN_SAMPLES = 100;
  private static final double FIRST_BYTE_QUANTILE = 0.99;
  private static final int FIRST_BYTE_FACTOR = 8;
  private static final long MIN_FIRST_BYTE_TIMEOUT_NANOS = 200_000_000L;
  private static final long MAX_FIRST_BYTE_TIMEOUT_NANOS = 5_000_000_000L;
  private static final long INITIAL_FIRST_BYTE_TIMEOUT_NANOS = 1_000_000_000L;

  private final LatencyTable latencies;
  private final AtomicLongArray hedgeDelayNanos;
  private final AtomicLongArray firstByteTimeoutNanos;
  private int ticks;

  /** Creates a system for at most {@code services} service rows. */
  public LatencySystem(LatencyTable latencies, int services) {
    this.latencies = latencies;
    hedgeDelayNanos = new AtomicLongArray(services);
    firstByteTimeoutNanos = new AtomicLongArray(services);
    for (int row = 0; row < services; row++) {
      reset(row);
    }
  }

  /** Resets a row to the defaults for a service without latencies. */
  public void reset(int row) {
    hedgeDelayNanos.set(row, RetryControl.NO_HEDGE);
    firstByteTimeoutNanos.set(row, INITIAL_FIRST_BYTE_TIMEOUT_NANOS);
  }

  /** Updates the rows that are scheduled in this tick. */
  public void tick(int[] rows, double[] hedgeFractions) {
    ticks++;
    boolean isHalvingPass = ticks / TICKS_PER_PASS % PASSES_PER_HALVING == 0;
    for (int i = ticks % TICKS_PER_PASS; i < rows.length; i += TICKS_PER_PASS) {
      update(rows[i], hedgeFractions[i]);
      if (isHalvingPass) {
        latencies.halve(rows[i]);
      }
    }
  }

  /** Returns the delay after which a read is hedged, in ns, or {@link RetryControl#NO_HEDGE}. */
  public long hedgeDelayNanos(int row) {
    return hedgeDelayNanos.get(row);
  }

  /** Returns the first-byte timeout after which a connection counts as silent, in ns. */
  public long firstByteTimeoutNanos(int row) {
    return firstByteTimeoutNanos.get(row);
  }

  private void update(int row, double hedgeFraction) {
    long count = latencies.count(row);
    if (count < MIN_SAMPLES) {
      return;
    }
    long timeoutNanos =
        FIRST_BYTE_FACTOR * latencies.quantileNanos(row, FIRST_BYTE_QUANTILE, count);
    firstByteTimeoutNanos.set(
        row,
        Math.max(
            MIN_FIRST_BYTE_TIMEOUT_NANOS, Math.min(MAX_FIRST_BYTE_TIMEOUT_NANOS, timeoutNanos)));
    hedgeDelayNanos.set(
        row,
        hedgeFraction <= 0
            ? RetryControl.NO_HEDGE
            : latencies.quantileNanos(row, 1 - hedgeFraction, count));
  }
}
