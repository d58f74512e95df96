package org.chivecross.logic.balance;

import java.util.Arrays;
import org.chivecross.model.table.LeavingEvidence;
import org.chivecross.model.table.TargetTable;

/**
 * Computes the candidates of a service: the targets that may receive new requests, each with its
 * weight, published for the request path. A leaving or ejected target receives no requests; a
 * target in slow start receives a reduced share.
 *
 * <p>Refused connections count as evidence of leaving only while at most half of the targets refuse
 * connections.
 *
 * <p>Not thread-safe: runs in the tick.
 */
public final class CandidateSystem {

  /**
   * Slow start: time in which the weight of a target grows from {@link #SLOW_START_INITIAL_WEIGHT}
   * to 1, in ns.
   */
  public static final long SLOW_START_NANOS = 10_000_000_000L;

  /** Weight of a target at the beginning of its slow start. */
  public static final double SLOW_START_INITIAL_WEIGHT = 0.1;

  private static final int WEIGHT_STEPS = 100;

  private final TargetTable targets;

  /** Creates a system over the targets. */
  public CandidateSystem(TargetTable targets) {
    this.targets = targets;
  }

  /**
   * Returns the candidates of a service.
   *
   * @param rows rows of all targets of the service
   * @param extraRoundTripNanos round-trip time to each of them beyond that within the own data
   *     centre, in ns
   * @param old candidates of the last update; the same instance is returned when nothing changed
   */
  public Candidates candidates(
      int[] rows, long[] extraRoundTripNanos, Candidates old, long nowNanos) {
    clearRefusalsOfMajority(rows, nowNanos);
    int usable = 0;
    for (int row : rows) {
      if (isUsable(row)) {
        usable++;
      }
    }
    if (isUnchanged(rows, usable, old, nowNanos)) {
      return old;
    }
    int[] usableRows = new int[usable];
    int[] slots = new int[usable];
    double[] weights = new double[usable];
    long[] extraRoundTrips = new long[usable];
    int n = 0;
    for (int i = 0; i < rows.length; i++) {
      int row = rows[i];
      if (isUsable(row)) {
        usableRows[n] = row;
        slots[n] = Math.max(1, targets.slots(row));
        weights[n] = weight(row, nowNanos);
        extraRoundTrips[n] = extraRoundTripNanos[i];
        n++;
      }
    }
    return new Candidates(
        Arrays.copyOf(usableRows, n),
        Arrays.copyOf(slots, n),
        Arrays.copyOf(weights, n),
        Arrays.copyOf(extraRoundTrips, n));
  }

  /** Returns the share of a full load that a target may receive, from 0 to 1. */
  public double weight(int row, long nowNanos) {
    if (!isUsable(row)) {
      return 0;
    }
    long servingSince = targets.health().servingSinceNanos(row);
    if (servingSince == TargetTable.NEVER || nowNanos - servingSince >= SLOW_START_NANOS) {
      return 1;
    }
    double progress = (double) Math.max(0, nowNanos - servingSince) / SLOW_START_NANOS;
    double weight = SLOW_START_INITIAL_WEIGHT + (1 - SLOW_START_INITIAL_WEIGHT) * progress;
    return Math.rint(weight * WEIGHT_STEPS) / WEIGHT_STEPS;
  }

  /**
   * Clears the evidence of refused connections when most targets refuse: then the fault is more
   * likely at this entry or its network.
   */
  private void clearRefusalsOfMajority(int[] rows, long nowNanos) {
    int refused = 0;
    for (int row : rows) {
      if (targets.leaving().isMarked(row, LeavingEvidence.REFUSED_CONNECTIONS)) {
        refused++;
      }
    }
    if (refused <= rows.length / 2) {
      return;
    }
    for (int row : rows) {
      targets.leaving().contradict(row, LeavingEvidence.REFUSED_CONNECTIONS, nowNanos);
      targets.health().resetRefusals(row);
    }
  }

  private boolean isUsable(int row) {
    return !targets.leaving().isLeaving(row) && !targets.health().isEjected(row);
  }

  private boolean isUnchanged(int[] rows, int usable, Candidates old, long nowNanos) {
    if (old.size() != usable) {
      return false;
    }
    int n = 0;
    for (int row : rows) {
      if (!isUsable(row)) {
        continue;
      }
      if (n >= usable
          || old.row(n) != row
          || old.slots(n) != Math.max(1, targets.slots(row))
          || old.weight(n) != weight(row, nowNanos)) {
        return false;
      }
      n++;
    }
    return n == usable;
  }
}
