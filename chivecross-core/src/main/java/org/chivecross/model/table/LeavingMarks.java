package org.chivecross.model.table;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Evidence that targets are leaving, for each kind the newest time that speaks for it and the
 * newest that speaks against it.
 *
 * <p>Invariants: times only grow, so the order and repetition of evidence make no difference; a
 * mark ends only by contrary evidence of its kind that is newer than it. Safe for use by many
 * threads.
 */
public final class LeavingMarks {

  private static final LeavingEvidence[] KINDS = LeavingEvidence.values();

  private final AtomicLongArray marked;
  private final AtomicLongArray cleared;

  LeavingMarks(int capacity) {
    marked = new AtomicLongArray(capacity * KINDS.length);
    cleared = new AtomicLongArray(capacity * KINDS.length);
  }

  void clear(int row) {
    for (LeavingEvidence kind : KINDS) {
      marked.set(cell(row, kind), TargetTable.NEVER);
      cleared.set(cell(row, kind), TargetTable.NEVER);
    }
  }

  /** Records evidence of a time that a target is leaving. */
  public void mark(int row, LeavingEvidence kind, long evidenceNanos) {
    raiseTo(marked, cell(row, kind), evidenceNanos);
  }

  /** Records contrary evidence of a time. */
  public void contradict(int row, LeavingEvidence kind, long evidenceNanos) {
    raiseTo(cleared, cell(row, kind), evidenceNanos);
  }

  /** Returns whether the evidence of a kind stands. */
  public boolean isMarked(int row, LeavingEvidence kind) {
    int cell = cell(row, kind);
    return marked.get(cell) > cleared.get(cell);
  }

  /** Returns the time of the newest evidence of a kind, or {@link TargetTable#NEVER}. */
  public long markedNanos(int row, LeavingEvidence kind) {
    return marked.get(cell(row, kind));
  }

  /** Returns whether any evidence stands. */
  public boolean isLeaving(int row) {
    for (LeavingEvidence kind : KINDS) {
      if (isMarked(row, kind)) {
        return true;
      }
    }
    return false;
  }

  private static int cell(int row, LeavingEvidence kind) {
    return row * KINDS.length + kind.ordinal();
  }

  private static void raiseTo(AtomicLongArray times, int cell, long nanos) {
    long old = times.get(cell);
    while (old < nanos && !times.compareAndSet(cell, old, nanos)) {
      old = times.get(cell);
    }
  }
}
