package org.chivecross.logic.balance;

import java.util.Arrays;
import org.chivecross.model.table.LeavingEvidence;
import org.chivecross.model.table.TargetTable;

/**
 * Decides which targets may take new work and with what weight, and publishes it for the request
 * path. A target that is leaving takes none; one that is ejected takes none while others are left;
 * one that began to serve a short time ago takes less. Refused connections count as leaving only
 * while they are seen at no more than half of the targets.
 *
 * <p>Not thread-safe: runs in the tick.
 */
public final class CandidateSystem {

  /** Time over which a target that began to serve takes more and more work, in ns. */
  public static final long SLOW_START_NANOS = 10_000_000_000L;

  /** Weight at the start of the ramp. */
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
   * @param rows all its targets
   * @param extraNanos extra round trip to each of them, in ns
   * @param old view of the last tick; returned again when nothing changed
   */
  public Candidates candidates(int[] rows, long[] extraNanos, Candidates old, long nowNanos) {
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
    long[] extras = new long[usable];
    int n = 0;
    for (int i = 0; i < rows.length; i++) {
      int row = rows[i];
      if (isUsable(row)) {
        usableRows[n] = row;
        slots[n] = Math.max(1, targets.slots(row));
        weights[n] = weight(row, nowNanos);
        extras[n] = extraNanos[i];
        n++;
      }
    }
    return new Candidates(
        Arrays.copyOf(usableRows, n),
        Arrays.copyOf(slots, n),
        Arrays.copyOf(weights, n),
        Arrays.copyOf(extras, n));
  }

  /** Returns the share of full work that a target may take, 0 to 1. */
  public double weight(int row, long nowNanos) {
    if (!isUsable(row)) {
      return 0;
    }
    long since = targets.health().servingSinceNanos(row);
    if (since == TargetTable.NEVER || nowNanos - since >= SLOW_START_NANOS) {
      return 1;
    }
    double grown = (double) Math.max(0, nowNanos - since) / SLOW_START_NANOS;
    double weight = SLOW_START_INITIAL_WEIGHT + (1 - SLOW_START_INITIAL_WEIGHT) * grown;
    return Math.rint(weight * WEIGHT_STEPS) / WEIGHT_STEPS;
  }

  /** When most targets refuse connections, the fault is more likely on the own side. */
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
