package org.chivecross.model.table;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLongArray;
import org.chivecross.model.request.LoadReport;

/**
 * Targets, one row for each address.
 *
 * <p>Invariants: an address has at most one row; a row keeps its live columns for as long as its
 * address is part of the file set; a released row is handed out again only after nothing is in
 * flight on it.
 *
 * <p>Thread safety: the live columns are atomic and may be used by any thread. Rows are acquired
 * and released by one thread at a time, and identity columns become visible to others by the
 * publication of a view.
 */
public final class TargetTable {

  /** Time stamp of something that never happened. */
  public static final long NEVER = Long.MIN_VALUE;

  private static final int COUNT_BITS = 16;
  private static final int COUNT_MASK = 0xFFFF;

  private final RowHandles handles;
  private final Map<String, Integer> rows = new HashMap<>();
  private final String[] addresses;
  private final String[] dataCentres;
  private final int[] services;
  private final int[] slots;
  private final int[] connections;

  private final AtomicIntegerArray inFlight;
  private final AtomicLongArray reports;
  private final AtomicLongArray reportNanos;
  private final AtomicIntegerArray startsSinceReport;
  private final AtomicLongArray progressNanos;
  private final AtomicLongArray successes;
  private final AtomicLongArray failures;

  /** Creates a table for at most {@code capacity} targets. */
  public TargetTable(int capacity) {
    handles = new RowHandles(capacity);
    addresses = new String[capacity];
    dataCentres = new String[capacity];
    services = new int[capacity];
    slots = new int[capacity];
    connections = new int[capacity];
    inFlight = new AtomicIntegerArray(capacity);
    reports = new AtomicLongArray(capacity);
    reportNanos = new AtomicLongArray(capacity);
    startsSinceReport = new AtomicIntegerArray(capacity);
    progressNanos = new AtomicLongArray(capacity);
    successes = new AtomicLongArray(capacity);
    failures = new AtomicLongArray(capacity);
  }

  /** Returns the row of an address, or empty when it has none. */
  public Optional<Integer> row(String address) {
    return Optional.ofNullable(rows.get(address));
  }

  /**
   * Returns the row of an address; a new row starts with clean live columns.
   *
   * @throws IllegalStateException when the table is full
   */
  public int acquire(String address) {
    Integer known = rows.get(address);
    if (known != null) {
      return known;
    }
    long handle = handles.acquire();
    if (handle == RowHandles.NONE) {
      throw new IllegalStateException("target table is full at " + handles.capacity() + " rows");
    }
    int row = RowHandles.row(handle);
    rows.put(address, row);
    addresses[row] = address;
    clear(row);
    return row;
  }

  /** Sets the columns that come from the file set. */
  public void describe(
      int row, int service, String dataCentre, int slotCount, int connectionCount) {
    services[row] = service;
    dataCentres[row] = dataCentre;
    slots[row] = slotCount;
    connections[row] = connectionCount;
  }

  /** Releases a row; its handle becomes stale. The caller checked that nothing is in flight. */
  public void release(int row) {
    rows.remove(addresses[row]);
    handles.release(handles.handleOf(row));
  }

  /** Returns the rows in use in ascending order. */
  public int[] liveRows() {
    return handles.liveRows();
  }

  /** Returns the number of rows. */
  public int capacity() {
    return addresses.length;
  }

  /** Returns {@code ip:port} of a target. */
  public String address(int row) {
    return addresses[row];
  }

  /** Returns the data centre of a target. */
  public String dataCentre(int row) {
    return dataCentres[row];
  }

  /** Returns the row of the service of a target. */
  public int service(int row) {
    return services[row];
  }

  /** Returns how many requests a target serves at once. */
  public int slots(int row) {
    return slots[row];
  }

  /** Returns how many connections a target takes from all entries together. */
  public int connections(int row) {
    return connections[row];
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
  public void end(int row, boolean succeeded, long nowNanos) {
    inFlight.decrementAndGet(row);
    progressNanos.set(row, nowNanos);
    (succeeded ? successes : failures).incrementAndGet(row);
  }

  /** Counts an attempt that was given up. */
  public void cancel(int row) {
    inFlight.decrementAndGet(row);
  }

  /** Keeps the newest report of a target. */
  public void report(int row, LoadReport report, long nowNanos) {
    reports.set(row, pack(report));
    startsSinceReport.set(row, 0);
    reportNanos.set(row, nowNanos);
  }

  /** Returns the attempts that started after the newest report came. */
  public int startsSinceReport(int row) {
    return startsSinceReport.get(row);
  }

  /**
   * Returns when the target last showed progress: an attempt ended, or one started while none was
   * in flight.
   */
  public long progressNanos(int row) {
    return progressNanos.get(row);
  }

  /** Returns when the newest report came, or {@link #NEVER}. */
  public long reportNanos(int row) {
    return reportNanos.get(row);
  }

  /** Returns the requests in service of the newest report. */
  public int reportedInService(int row) {
    return (int) (reports.get(row) >>> (2 * COUNT_BITS)) & COUNT_MASK;
  }

  /** Returns the waiting requests of the newest report. */
  public int reportedQueued(int row) {
    return (int) (reports.get(row) >>> COUNT_BITS) & COUNT_MASK;
  }

  /** Returns the attempts that succeeded since the row was acquired. */
  public long successes(int row) {
    return successes.get(row);
  }

  /** Returns the attempts that failed since the row was acquired. */
  public long failures(int row) {
    return failures.get(row);
  }

  private void clear(int row) {
    inFlight.set(row, 0);
    reports.set(row, 0);
    reportNanos.set(row, NEVER);
    startsSinceReport.set(row, 0);
    progressNanos.set(row, 0);
    successes.set(row, 0);
    failures.set(row, 0);
  }

  private static long pack(LoadReport report) {
    return ((long) clamp(report.inService()) << (2 * COUNT_BITS))
        | ((long) clamp(report.queued()) << COUNT_BITS)
        | clamp(report.slots());
  }

  private static int clamp(int count) {
    return Math.max(0, Math.min(COUNT_MASK, count));
  }
}
