package org.chivecross.logic.key;

import java.util.Arrays;

/**
 * Hash table of key records with open addressing and linear probing, stored in primitive columns.
 *
 * <p>Invariants: at most {@code capacity} rows; a row expires only after both its request and its
 * window have ended. Not thread-safe.
 */
final class KeyRecords {

  /** Row index of a key without a row. */
  static final int NOT_FOUND = -1;

  private static final int SLOTS_PER_RECORD_NUMERATOR = 4;
  private static final int SLOTS_PER_RECORD_DENOMINATOR = 3;

  /** Minimum time between two sweeps of a full table, so that refusals stay cheap. */
  private static final long MIN_SWEEP_INTERVAL_MILLIS = 10;

  /** State of a row. */
  enum RowState {
    EMPTY,
    IN_FLIGHT,
    /** In flight and cancelled: fenced if the request proves not to have run. */
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
    int slots =
        Integer.highestOneBit(capacity * SLOTS_PER_RECORD_NUMERATOR / SLOTS_PER_RECORD_DENOMINATOR)
            << 1;
    mask = slots - 1;
    highs = new long[slots];
    lows = new long[slots];
    endMillis = new long[slots];
    states = new RowState[slots];
    Arrays.fill(states, RowState.EMPTY);
    statuses = new short[slots];
  }

  /** Returns the row of a key, or {@link #NOT_FOUND}. */
  int find(KeyDigest key) {
    int row = homeSlot(key.low());
    while (states[row] != RowState.EMPTY) {
      if (lows[row] == key.low() && highs[row] == key.high()) {
        return row;
      }
      row = (row + 1) & mask;
    }
    return NOT_FOUND;
  }

  /** Adds a row; returns false if the table is full even after removing expired rows. */
  boolean add(KeyDigest key, RowState state, long end, long nowMillis) {
    if (size == capacity && nowMillis >= nextSweepMillis) {
      nextSweepMillis = nowMillis + MIN_SWEEP_INTERVAL_MILLIS;
      removeExpired(nowMillis);
    }
    if (size == capacity) {
      return false;
    }
    int row = homeSlot(key.low());
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

  /** Removes a row and moves later rows of its probe sequence into the gap. */
  void remove(int row) {
    int gap = row;
    int next = (gap + 1) & mask;
    while (states[next] != RowState.EMPTY) {
      int distance = (next - homeSlot(lows[next])) & mask;
      if (distance >= ((next - gap) & mask)) {
        move(next, gap);
        gap = next;
      }
      next = (next + 1) & mask;
    }
    states[gap] = RowState.EMPTY;
    size--;
  }

  int size() {
    return size;
  }

  /** Removes rows whose request and window have ended. */
  void removeExpired(long nowMillis) {
    if (nowMillis < earliestEndMillis) {
      return;
    }
    earliestEndMillis = Long.MAX_VALUE;
    for (int row = 0; row <= mask; row++) {
      // Removal may move a later row to this index, so the index is checked again.
      while (states[row] != RowState.EMPTY && isExpired(row, nowMillis)) {
        remove(row);
      }
      if (states[row] != RowState.EMPTY) {
        earliestEndMillis = Math.min(earliestEndMillis, endMillis[row]);
      }
    }
  }

  private boolean isExpired(int row, long nowMillis) {
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

  private int homeSlot(long low) {
    return (int) (low & mask);
  }
}
