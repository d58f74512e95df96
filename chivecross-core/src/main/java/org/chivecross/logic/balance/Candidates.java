package org.chivecross.logic.balance;

/**
 * Targets of one service that may take new work now, as the last tick saw them. Immutable and safe
 * for use by many threads; the request path reads it without locks.
 */
public final class Candidates {

  /** No target may take work. */
  public static final Candidates EMPTY =
      new Candidates(new int[0], new int[0], new double[0], new long[0]);

  private final int[] rows;
  private final int[] slots;
  private final double[] weights;
  private final long[] extraRoundTripNanos;

  /**
   * Creates a view.
   *
   * @param rows rows of the targets
   * @param slots requests that each of them serves at once
   * @param weights share of full work that each of them may take, above 0 and at most 1
   * @param extraNanos round trip to each of them beyond that within the own data centre, in ns
   */
  public Candidates(int[] rows, int[] slots, double[] weights, long[] extraNanos) {
    this.rows = rows.clone();
    this.slots = slots.clone();
    this.weights = weights.clone();
    this.extraRoundTripNanos = extraNanos.clone();
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

  /** Returns the share of full work that the target at an index may take. */
  public double weight(int index) {
    return weights[index];
  }

  /** Returns the extra round trip to the target at an index, in ns. */
  public long extraRoundTripNanos(int index) {
    return extraRoundTripNanos[index];
  }
}
