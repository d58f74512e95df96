package org.chivecross.logic.key;

import java.util.Arrays;

/**
 * Rows of key records: a hash table with open addressing over primitive columns.
 *
 * <p>Invariants: never more than {@code capacity} rows; a row that is in flight, or whose window
 * has not ended, is never dropped. Not thread-safe.
 */
final class KeyRecords {

  /** Returned when a key has no row. */
  static final int NONE = -1;

  private static final int LOAD_NUMERATOR = 4;
  private static final int LOAD_DENOMINATOR = 3;

  /** Least time between two sweeps of a full table, so that refusals stay cheap. */
  private static final long SWEEP_PAUSE_MILLIS = 10;

  /** State of a row. */
  enum RowState {
    EMPTY,
    IN_FLIGHT,
    /** In flight, and to be fenced if it turns out not to have run. */
    IN_FLIGHT_CANCELLED,
    ANSWERED,
    UNKNOWN,
    FENCED
  }

  private final int capacity;
  private final int mask;
  private final long[] highs;
  private final long[] lows;
  private final long[] endMillis;
  private final RowState[] states;
  private final short[] statuses;
  private int size;
  private long earliestEndMillis = Long.MAX_VALUE;
  private long nextSweepMillis;

  KeyRecords(int capacity) {
    this.capacity = capacity;
    int slots = Integer.highestOneBit(capacity * LOAD_NUMERATOR / LOAD_DENOMINATOR) << 1;
    mask = slots - 1;
    highs = new long[slots];
    lows = new long[slots];
    endMillis = new long[slots];
    states = new RowState[slots];
    Arrays.fill(states, RowState.EMPTY);
    statuses = new short[slots];
  }

  /** Returns the row of a key, or {@link #NONE}. */
  int find(KeyDigest key) {
    int row = home(key.low());
    while (states[row] != RowState.EMPTY) {
      if (lows[row] == key.low() && highs[row] == key.high()) {
        return row;
      }
      row = (row + 1) & mask;
    }
    return NONE;
  }

  /** Adds a row; false when there is no room even after dropping rows whose window ended. */
  boolean add(KeyDigest key, RowState state, long end, long nowMillis) {
    if (size == capacity && nowMillis >= nextSweepMillis) {
      nextSweepMillis = nowMillis + SWEEP_PAUSE_MILLIS;
      dropEnded(nowMillis);
    }
    if (size == capacity) {
      return false;
    }
    int row = home(key.low());
    while (states[row] != RowState.EMPTY) {
      row = (row + 1) & mask;
    }
    highs[row] = key.high();
    lows[row] = key.low();
    endMillis[row] = end;
    states[row] = state;
    statuses[row] = 0;
    size++;
    earliestEndMillis = Math.min(earliestEndMillis, end);
    return true;
  }

  RowState state(int row) {
    return states[row];
  }

  int status(int row) {
    return statuses[row];
  }

  void set(int row, RowState state, int status) {
    states[row] = state;
    statuses[row] = (short) status;
  }

  /** Removes a row and moves later rows of its probe sequence up. */
  void remove(int row) {
    int hole = row;
    int next = (hole + 1) & mask;
    while (states[next] != RowState.EMPTY) {
      int distance = (next - home(lows[next])) & mask;
      if (distance >= ((next - hole) & mask)) {
        move(next, hole);
        hole = next;
      }
      next = (next + 1) & mask;
    }
    states[hole] = RowState.EMPTY;
    size--;
  }

  int size() {
    return size;
  }

  /** Drops rows that are over and whose window ended. */
  void dropEnded(long nowMillis) {
    if (nowMillis < earliestEndMillis) {
      return;
    }
    earliestEndMillis = Long.MAX_VALUE;
    for (int row = 0; row <= mask; row++) {
      // Removing moves a later row up, which is looked at next.
      while (states[row] != RowState.EMPTY && isDroppable(row, nowMillis)) {
        remove(row);
      }
      if (states[row] != RowState.EMPTY) {
        earliestEndMillis = Math.min(earliestEndMillis, endMillis[row]);
      }
    }
  }

  private boolean isDroppable(int row, long nowMillis) {
    RowState state = state(row);
    boolean inFlight = state == RowState.IN_FLIGHT || state == RowState.IN_FLIGHT_CANCELLED;
    return !inFlight && endMillis[row] <= nowMillis;
  }

  private void move(int from, int to) {
    highs[to] = highs[from];
    lows[to] = lows[from];
    endMillis[to] = endMillis[from];
    states[to] = states[from];
    statuses[to] = statuses[from];
  }

  private int home(long low) {
    return (int) (low & mask);
  }
}
