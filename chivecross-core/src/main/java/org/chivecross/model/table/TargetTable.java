package org.chivecross.model.table;

import java.util.HashMap;
import java.util.Map;

/**
 * Table of targets: one row for each address, with its live columns grouped by the system that uses
 * them.
 *
 * <p>Invariants: an address has at most one row; a row keeps its live columns for as long as its
 * address is part of the file set; a released row is reused only when nothing is in flight on it.
 *
 * <p>Thread safety: the live columns may be used by any thread. Rows are acquired and released by
 * one thread at a time; identity columns become visible to other threads when a view is published.
 */
public final class TargetTable {

  /** Timestamp of an event that has not happened. */
  public static final long NEVER = Long.MIN_VALUE;

  private final RowHandles handles;
  private final Map<String, Integer> rows = new HashMap<>();
  private final String[] addresses;
  private final String[] dataCentres;
  private final int[] services;
  private final int[] slots;
  private final int[] connections;
  private final TargetLoads loads;
  private final TargetHealth health;
  private final LeavingMarks leaving;

  /** Creates a table for at most {@code capacity} targets. */
  public TargetTable(int capacity) {
    handles = new RowHandles(capacity);
    addresses = new String[capacity];
    dataCentres = new String[capacity];
    services = new int[capacity];
    slots = new int[capacity];
    connections = new int[capacity];
    loads = new TargetLoads(capacity);
    health = new TargetHealth(capacity);
    leaving = new LeavingMarks(capacity);
  }

  /** Returns whether an address has a row. */
  public boolean contains(String address) {
    return rows.containsKey(address);
  }

  /**
   * Returns the row of an address, allocating one if necessary; a new row starts with reset live
   * columns.
   *
   * @throws IllegalStateException when the table is full
   */
  public int acquire(String address) {
    Integer existing = rows.get(address);
    if (existing != null) {
      return existing;
    }
    long handle = handles.acquire();
    if (handle == RowHandles.NONE) {
      throw new IllegalStateException("target table is full at " + handles.capacity() + " rows");
    }
    int row = RowHandles.row(handle);
    rows.put(address, row);
    addresses[row] = address;
    loads.clear(row);
    health.clear(row);
    leaving.clear(row);
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

  /**
   * Releases a row; its handle becomes stale. The caller must have checked that nothing is in
   * flight on it.
   */
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

  /** Returns the number of requests that a target serves at the same time. */
  public int slots(int row) {
    return slots[row];
  }

  /** Returns the maximum number of connections to a target from all entries together. */
  public int connections(int row) {
    return connections[row];
  }

  /** Returns the load columns. */
  public TargetLoads loads() {
    return loads;
  }

  /** Returns the health columns. */
  public TargetHealth health() {
    return health;
  }

  /** Returns the evidence that targets are leaving. */
  public LeavingMarks leaving() {
    return leaving;
  }
}
