package org.chivecross.model.table;

import java.util.Arrays;

/**
 * Allocates the rows of a table of fixed capacity and detects stale handles.
 *
 * <p>A handle is a {@code long}: the generation of the row in the upper half and the row in the
 * lower half. The generation increases when a row is released, so older handles of that row become
 * stale.
 *
 * <p>Invariant: a row is either in the free list or live, never both. Not thread-safe; the owner of
 * the table synchronizes access.
 */
public final class RowHandles {

  /** Handle that never refers to a live row. */
  public static final long NONE = -1L;

  private static final int ROW_BITS = 32;

  private final int[] generations;
  private final boolean[] live;
  private final int[] free;
  private int freeCount;

  /** Creates handles for rows 0 to {@code capacity - 1}. */
  public RowHandles(int capacity) {
    if (capacity <= 0) {
      throw new IllegalArgumentException("capacity must be positive: " + capacity);
    }
    generations = new int[capacity];
    live = new boolean[capacity];
    free = new int[capacity];
    for (int i = 0; i < capacity; i++) {
      free[i] = capacity - 1 - i;
    }
    freeCount = capacity;
  }

  /** Allocates a free row and returns its handle, or {@link #NONE} when the table is full. */
  public long acquire() {
    if (freeCount == 0) {
      return NONE;
    }
    freeCount--;
    int row = free[freeCount];
    live[row] = true;
    return toHandle(row);
  }

  /**
   * Releases a row.
   *
   * @return false when the handle is stale; then nothing is changed
   */
  public boolean release(long handle) {
    if (!isLive(handle)) {
      return false;
    }
    int row = row(handle);
    live[row] = false;
    generations[row] = (generations[row] + 1) & Integer.MAX_VALUE;
    free[freeCount] = row;
    freeCount++;
    return true;
  }

  /** Returns whether the handle refers to a live row of the same generation. */
  public boolean isLive(long handle) {
    int row = row(handle);
    if (handle < 0 || row >= generations.length) {
      return false;
    }
    return live[row] && generations[row] == (int) (handle >>> ROW_BITS);
  }

  /** Returns the handle of a live row, or {@link #NONE}. */
  public long handleOf(int row) {
    return live[row] ? toHandle(row) : NONE;
  }

  /** Returns the row of a handle; meaningful only while {@link #isLive} holds. */
  public static int row(long handle) {
    return (int) handle;
  }

  /** Returns the number of live rows. */
  public int liveCount() {
    return generations.length - freeCount;
  }

  /** Returns the number of rows. */
  public int capacity() {
    return generations.length;
  }

  /** Returns the live rows in ascending order. */
  public int[] liveRows() {
    int[] rows = new int[liveCount()];
    int n = 0;
    for (int row = 0; row < live.length; row++) {
      if (live[row]) {
        rows[n] = row;
        n++;
      }
    }
    return Arrays.copyOf(rows, n);
  }

  private long toHandle(int row) {
    return ((long) generations[row] << ROW_BITS) | row;
  }
}
