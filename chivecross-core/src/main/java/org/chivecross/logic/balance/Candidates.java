package org.chivecross.logic.balance;

/**
 * Targets of one service that may take new work now, as the last tick saw them. Immutable and safe
 * for use by many threads; the request path reads it without locks.
 */
public final class Candidates {

  /** No target may take work. */
  public static final Candidates EMPTY = new Candidates(new int[0], new int[0]);

  private final int[] rows;
  private final int[] slots;

  /**
   * Creates a view.
   *
   * @param rows rows of the targets
   * @param slots requests that each of them serves at once
   */
  public Candidates(int[] rows, int[] slots) {
    this.rows = rows.clone();
    this.slots = slots.clone();
  }

  /** Returns the number of targets. */
  public int size() {
    return rows.length;
  }

  /** Returns the row of the target at an index. */
  public int row(int index) {
    return rows[index];
  }

  /** Returns how many requests the target at an index serves at once. */
  public int slots(int index) {
    return slots[index];
  }
}
