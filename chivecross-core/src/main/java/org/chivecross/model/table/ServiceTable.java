package org.chivecross.model.table;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Table of services or of tenants: one row for each name, with its live counters.
 *
 * <p>Invariants: a name has at most one row; a row keeps its live columns for as long as its name
 * is part of the file set.
 *
 * <p>Thread safety: the live columns are atomic and may be used by any thread. Rows are acquired
 * and released by one thread at a time; names become visible to other threads when a view is
 * published.
 */
public final class ServiceTable {

  /** Reciprocal of the weight of a new latency in the moving mean. */
  private static final int LATENCY_EWMA_DIVISOR = 64;

  private final RowHandles handles;
  private final Map<String, Integer> rows = new HashMap<>();
  private final String[] names;
  private final AtomicIntegerArray inFlight;
  private final AtomicLongArray bucketFullNanos;
  private final AtomicLongArray latencyNanos;
  private final AtomicLongArray meanLoadBits;
  private final AtomicLongArray reportsIgnoredUntilNanos;

  /** Creates a table for at most {@code capacity} names. */
  public ServiceTable(int capacity) {
    handles = new RowHandles(capacity);
    names = new String[capacity];
    inFlight = new AtomicIntegerArray(capacity);
    bucketFullNanos = new AtomicLongArray(capacity);
    latencyNanos = new AtomicLongArray(capacity);
    meanLoadBits = new AtomicLongArray(capacity);
    reportsIgnoredUntilNanos = new AtomicLongArray(capacity);
  }

  /** Returns whether a name has a row. */
  public boolean contains(String name) {
    return rows.containsKey(name);
  }

  /**
   * Returns the row of a name, allocating one if necessary; a new row starts with reset live
   * columns.
   *
   * @throws IllegalStateException when the table is full
   */
  public int acquire(String name) {
    Integer existing = rows.get(name);
    if (existing != null) {
      return existing;
    }
    long handle = handles.acquire();
    if (handle == RowHandles.NONE) {
      throw new IllegalStateException("table is full at " + handles.capacity() + " rows");
    }
    int row = RowHandles.row(handle);
    rows.put(name, row);
    names[row] = name;
    inFlight.set(row, 0);
    bucketFullNanos.set(row, TargetTable.NEVER);
    latencyNanos.set(row, 0);
    setMeanLoad(row, 0);
    reportsIgnoredUntilNanos.set(row, TargetTable.NEVER);
    return row;
  }

  /** Releases a row. The caller must have checked that nothing is in flight on it. */
  public void release(int row) {
    rows.remove(names[row]);
    handles.release(handles.handleOf(row));
  }

  /** Returns the rows in use in ascending order. */
  public int[] liveRows() {
    return handles.liveRows();
  }

  /** Returns the number of rows. */
  public int capacity() {
    return names.length;
  }

  /** Returns the name of a row. */
  public String name(int row) {
    return names[row];
  }

  /** Returns the number of admitted requests that have not ended. */
  public int inFlight(int row) {
    return inFlight.get(row);
  }

  /** Counts an admitted request unless {@code limit} requests are in flight. */
  public boolean tryStartRequest(int row, int limit) {
    int current = inFlight.get(row);
    while (current < limit) {
      if (inFlight.compareAndSet(row, current, current + 1)) {
        return true;
      }
      current = inFlight.get(row);
    }
    return false;
  }

  /**
   * Adds the latency of an attempt to the moving mean. When two threads record at the same time,
   * one value may be lost, which does not matter for a mean.
   */
  public void recordLatency(int row, long nanos) {
    long mean = latencyNanos.get(row);
    latencyNanos.set(row, mean == 0 ? nanos : mean + (nanos - mean) / LATENCY_EWMA_DIVISOR);
  }

  /** Returns the moving mean of the latency of attempts in ns; 0 before the first one. */
  public long latencyNanos(int row) {
    return latencyNanos.get(row);
  }

  /** Sets the mean load of a target of the service, in requests for each slot. */
  public void setMeanLoad(int row, double load) {
    meanLoadBits.set(row, Double.doubleToRawLongBits(load));
  }

  /** Returns the mean load of a target of the service, in requests for each slot. */
  public double meanLoad(int row) {
    return Double.longBitsToDouble(meanLoadBits.get(row));
  }

  /** Ignores the load reports of all targets of a service until a time. */
  public void ignoreReportsUntil(int row, long untilNanos) {
    reportsIgnoredUntilNanos.set(row, untilNanos);
  }

  /** Returns the time until which load reports are ignored, or {@link TargetTable#NEVER}. */
  public long reportsIgnoredUntilNanos(int row) {
    return reportsIgnoredUntilNanos.get(row);
  }

  /** Counts the end of an admitted request. */
  public void endRequest(int row) {
    inFlight.decrementAndGet(row);
  }

  /**
   * Takes one token from the token bucket of a row. The bucket is stored as the time at which it
   * will be full again.
   *
   * @param intervalNanos time in which one token is added, in ns
   * @param burst capacity of the bucket in tokens
   */
  public boolean tryTakeToken(int row, long intervalNanos, int burst, long nowNanos) {
    long window = intervalNanos * burst;
    while (true) {
      long full = bucketFullNanos.get(row);
      long start = full == TargetTable.NEVER ? nowNanos : Math.max(full, nowNanos);
      if (start + intervalNanos - nowNanos > window) {
        return false;
      }
      if (bucketFullNanos.compareAndSet(row, full, start + intervalNanos)) {
        return true;
      }
    }
  }
}
