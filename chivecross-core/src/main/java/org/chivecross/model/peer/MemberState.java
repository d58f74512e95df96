package org.chivecross.model.peer;

/** Belief about a member; a later constant overrides an earlier one of the same sequence. */
public enum MemberState {
  /** It answers probes. */
  ALIVE,
  /** It missed probes and may still refute. */
  SUSPECT,
  /** It left, or did not refute in time. */
  DEAD
}
