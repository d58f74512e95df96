package org.chivecross.model.peer;

/** Belief about a member; a later constant overrides an earlier one of the same sequence. */
public enum MemberState {
  /** It answers probes. */
  ALIVE(0),
  /** It missed probes and may still refute. */
  SUSPECT(1),
  /** It left, or did not refute in time. */
  DEAD(2);

  private final int rank;

  MemberState(int rank) {
    this.rank = rank;
  }

  /** Returns a number that a later state has higher. */
  public int rank() {
    return rank;
  }
}
