package org.chivecross.model.table;

/** What showed that a target is leaving. */
public enum LeavingEvidence {
  /** The platform's list of VMs. */
  VM_LIST,
  /** The target's health report. */
  HEALTH_REPORT,
  /** The header of an answer. */
  ANSWER_HEADER,
  /** Several connections in a row were refused. */
  REFUSED_CONNECTIONS
}
