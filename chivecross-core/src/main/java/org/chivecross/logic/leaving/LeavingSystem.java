package org.chivecross.logic.leaving;

import org.chivecross.model.table.LeavingEvidence;
import org.chivecross.model.table.LeavingMarks;
import org.chivecross.model.table.TargetHealth;

/**
 * Turns observations of the request path, health reports, marks from peers and the platform's list
 * of VMs into {@link LeavingMarks}.
 *
 * <p>Evidence from answers, health reports and refused connections is cleared only by a health
 * report requested after it. An answer without the leaving header clears nothing, since answers
 * arrive out of order and a marked target receives no new requests. Evidence from the list of VMs
 * is cleared only by a later list. Safe for use by many threads.
 */
public final class LeavingSystem {

  /** Number of consecutive refused connections that count as evidence. */
  public static final int REFUSALS_BEFORE_MARK = 3;

  private final LeavingMarks marks;
  private final TargetHealth health;

  /** Creates a system that writes the marks and the refusal counters. */
  public LeavingSystem(LeavingMarks marks, TargetHealth health) {
    this.marks = marks;
    this.health = health;
  }

  /** An answer announced that its target is leaving. */
  public void headerSeen(int row, long nowNanos) {
    marks.mark(row, LeavingEvidence.ANSWER_HEADER, nowNanos);
  }

  /** A target refused a connection. */
  public void refused(int row, long nowNanos) {
    if (health.recordRefusal(row) >= REFUSALS_BEFORE_MARK) {
      marks.mark(row, LeavingEvidence.REFUSED_CONNECTIONS, nowNanos);
    }
  }

  /**
   * A health report arrived.
   *
   * @param leaving whether it announces that the target is leaving
   * @param startNanos time at which the report was requested
   */
  public void healthReported(int row, boolean leaving, long startNanos) {
    marks.contradict(row, LeavingEvidence.REFUSED_CONNECTIONS, startNanos);
    if (leaving) {
      marks.mark(row, LeavingEvidence.HEALTH_REPORT, startNanos);
      return;
    }
    marks.contradict(row, LeavingEvidence.HEALTH_REPORT, startNanos);
    marks.contradict(row, LeavingEvidence.ANSWER_HEADER, startNanos);
  }

  /**
   * The platform's list of VMs was read.
   *
   * @param leaving whether the VM of the target is listed as leaving or is missing
   * @param nowNanos time at which the list was read
   */
  public void listed(int row, boolean leaving, long nowNanos) {
    if (leaving) {
      marks.mark(row, LeavingEvidence.VM_LIST, nowNanos);
      return;
    }
    marks.contradict(row, LeavingEvidence.VM_LIST, nowNanos);
  }

  /**
   * A peer sent evidence that a target is leaving.
   *
   * @param seenNanos time of the evidence on this entry's clock
   */
  public void reportedByPeer(int row, long seenNanos) {
    marks.mark(row, LeavingEvidence.ANSWER_HEADER, seenNanos);
  }
}
