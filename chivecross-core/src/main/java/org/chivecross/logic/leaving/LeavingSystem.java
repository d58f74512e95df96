package org.chivecross.logic.leaving;

import org.chivecross.model.table.LeavingEvidence;
import org.chivecross.model.table.LeavingMarks;
import org.chivecross.model.table.TargetHealth;

/**
 * Turns what the request path, probes, peers and the platform's list say into marks.
 *
 * <p>Only a health report that was asked for after the evidence contradicts it; an answer without
 * the leaving header does not, since answers arrive out of order and a marked target gets no new
 * requests. What the list of VMs says is contradicted by a later list alone. Safe for use by many
 * threads.
 */
public final class LeavingSystem {

  /** Refused connections in a row that count as evidence. */
  public static final int REFUSALS_BEFORE_MARK = 3;

  private final LeavingMarks marks;
  private final TargetHealth health;

  /** Creates a system over both kinds of columns. */
  public LeavingSystem(LeavingMarks marks, TargetHealth health) {
    this.marks = marks;
    this.health = health;
  }

  /** An answer said that its target is leaving. */
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
   * A health report came.
   *
   * @param leaving whether it says that the target is leaving
   * @param startNanos time at which the report was asked for
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
   * The platform's list was read.
   *
   * @param leaving whether the VM of the target is leaving or missing
   * @param nowNanos time of the reading
   */
  public void listed(int row, boolean leaving, long nowNanos) {
    if (leaving) {
      marks.mark(row, LeavingEvidence.VM_LIST, nowNanos);
      return;
    }
    marks.contradict(row, LeavingEvidence.VM_LIST, nowNanos);
  }

  /**
   * A peer knows of evidence.
   *
   * @param seenNanos time of the evidence on this entry's clock
   */
  public void reportedByPeer(int row, long seenNanos) {
    marks.mark(row, LeavingEvidence.ANSWER_HEADER, seenNanos);
  }
}
