package org.chivecross.model.table;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Evidence that targets are leaving: for each target and kind of evidence the time of the newest
 * evidence for it and of the newest evidence against it.
 *
 * <p>Invariants: times only increase, so the order and repetition of evidence make no difference; a
 * mark is cleared only by contrary evidence of the same kind that is at least as new. Safe for use
 * by many threads.
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

  /** Records evidence that a target is leaving. */
  public void mark(int row, LeavingEvidence kind, long evidenceNanos) {
    raiseTo(marked, cell(row, kind), evidenceNanos);
  }

  /** Records evidence that a target is not leaving. */
  public void contradict(int row, LeavingEvidence kind, long evidenceNanos) {
    raiseTo(cleared, cell(row, kind), evidenceNanos);
  }

  /** Returns whether the evidence of a kind is newer than all contrary evidence of that kind. */
  public boolean isMarked(int row, LeavingEvidence kind) {
    int cell = cell(row, kind);
    return marked.get(cell) > cleared.get(cell);
  }

  /** Returns the time of the newest evidence of a kind, or {@link TargetTable#NEVER}. */
  public long markedNanos(int row, LeavingEvidence kind) {
    return marked.get(cell(row, kind));
  }

  /** Returns whether a target is marked as leaving by any kind of evidence. */
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
