package org.chivecross.model.peer;

/**
 * State of a member in a claim. Of two claims with the same sequence the one with the later
 * constant holds.
 */
public enum MemberState {
  /** It answers probes. */
  ALIVE(0),
  /** It missed a probe and may still refute. */
  SUSPECT(1),
  /** It left, or did not refute in time. */
  DEAD(2);

  private final int rank;

  MemberState(int rank) {
    this.rank = rank;
  }

  /** Returns the rank; a state that overrides another one has a higher rank. */
  public int rank() {
    return rank;
  }
}
