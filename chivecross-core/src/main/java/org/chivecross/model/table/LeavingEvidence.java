package org.chivecross.model.table;

/** Kind of evidence that a target is leaving. */
public enum LeavingEvidence {
  /** The platform listed its VM as leaving or no longer listed it. */
  VM_LIST,
  /** The target announced it in a health report. */
  HEALTH_REPORT,
  /** The target announced it in the header of an answer. */
  ANSWER_HEADER,
  /** Several connections in a row were refused. */
  REFUSED_CONNECTIONS
}
