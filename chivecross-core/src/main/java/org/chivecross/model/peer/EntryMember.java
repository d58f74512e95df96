package org.chivecross.model.peer;

/**
 * A claim about one entry process. Immutable.
 *
 * <p>Of two claims about the same incarnation the one with the higher sequence holds, and with
 * equal sequences the one with the later {@link MemberState}. Only the entry itself raises its
 * sequence, so it can refute whatever others claim.
 *
 * @param incarnation random number that the process drew at its start
 * @param peerAddress {@code ip:port} for other entries
 * @param clientAddress {@code ip:port} for callers
 * @param dataCentre data centre from its settings
 * @param sequence number that only the entry itself raises, to at least the ms since its start
 * @param state belief about it
 * @param flags what it says of itself
 */
public record EntryMember(
    long incarnation,
    String peerAddress,
    String clientAddress,
    String dataCentre,
    long sequence,
    MemberState state,
    EntryFlags flags) {

  /** Returns whether this claim replaces {@code other} about the same incarnation. */
  public boolean overrides(EntryMember other) {
    if (sequence != other.sequence) {
      return sequence > other.sequence;
    }
    return state.compareTo(other.state) > 0;
  }

  /** Returns the same claim with another state. */
  public EntryMember withState(MemberState newState) {
    return new EntryMember(
        incarnation, peerAddress, clientAddress, dataCentre, sequence, newState, flags);
  }

  /** Returns the claim of an entry about itself that refutes all others. */
  public EntryMember renewed(long newSequence, EntryFlags newMarks) {
    return new EntryMember(
        incarnation,
        peerAddress,
        clientAddress,
        dataCentre,
        newSequence,
        MemberState.ALIVE,
        newMarks);
  }

  /** Returns the same claim with another address for callers. */
  public EntryMember withClientAddress(String address) {
    return new EntryMember(incarnation, peerAddress, address, dataCentre, sequence, state, flags);
  }

  /** Returns whether callers may be sent to it. */
  public boolean isUsable() {
    return state == MemberState.ALIVE && flags.ready() && !flags.leaving() && !flags.overloaded();
  }
}
