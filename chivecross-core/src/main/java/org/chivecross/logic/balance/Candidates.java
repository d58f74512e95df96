package org.chivecross.logic.balance;

/**
 * Targets of one service that may receive new requests, as of the last update in the tick.
 * Immutable and safe for use by many threads; the request path reads it without locks.
 */
public final class Candidates {

  /** Candidates of a service without any usable target. */
  public static final Candidates EMPTY =
      new Candidates(new int[0], new int[0], new double[0], new long[0]);

  private final int[] rows;
  private final int[] slots;
  private final double[] weights;
  private final long[] extraRoundTripNanos;

  /**
   * Creates candidates; all arrays have one element for each target.
   *
   * @param rows rows of the targets
   * @param slots number of requests that each target serves at the same time
   * @param weights share of a full load that each target may receive, above 0 and at most 1
   * @param extraRoundTripNanos round-trip time to each target beyond that within the own data
   *     centre, in ns
   */
  public Candidates(int[] rows, int[] slots, double[] weights, long[] extraRoundTripNanos) {
    this.rows = rows.clone();
    this.slots = slots.clone();
    this.weights = weights.clone();
    this.extraRoundTripNanos = extraRoundTripNanos.clone();
  }

  /** Returns the number of targets. */
  public int size() {
    return rows.length;
  }

  /** Returns the row of the target at an index. */
  public int row(int index) {
    return rows[index];
  }

  /** Returns the number of requests that the target at an index serves at the same time. */
  public int slots(int index) {
    return slots[index];
  }

  /** Returns the share of a full load that the target at an index may receive. */
  public double weight(int index) {
    return weights[index];
  }

  /**
   * Returns the round-trip time to the target at an index beyond that within the own data centre,
   * in ns.
   */
  public long extraRoundTripNanos(int index) {
    return extraRoundTripNanos[index];
  }
}
