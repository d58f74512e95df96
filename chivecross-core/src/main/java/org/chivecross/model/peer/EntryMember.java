package org.chivecross.model.peer;

/**
 * A claim about one entry process. Immutable.
 *
 * <p>Of two claims about the same incarnation the one with the higher sequence holds, and with
 * equal sequences the one with the later {@link MemberState}. Only the entry itself raises its
 * sequence, so it can refute any claim of others.
 *
 * @param incarnation random number that the process drew at its start
 * @param peerAddress {@code ip:port} for other entries
 * @param clientAddress {@code ip:port} for callers
 * @param dataCentre data centre from its settings
 * @param sequence number that only the entry itself raises; at least the ms since its start at that
 *     time
 * @param state state of the entry according to this claim
 * @param flags flags that the entry advertises about itself
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

  /** Returns the entry's own claim to be alive, with a new sequence and new flags. */
  public EntryMember renewed(long newSequence, EntryFlags newFlags) {
    return new EntryMember(
        incarnation,
        peerAddress,
        clientAddress,
        dataCentre,
        newSequence,
        MemberState.ALIVE,
        newFlags);
  }

  /** Returns the same claim with another address for callers. */
  public EntryMember withClientAddress(String address) {
    return new EntryMember(incarnation, peerAddress, address, dataCentre, sequence, state, flags);
  }

  /** Returns whether callers may be directed to this entry. */
  public boolean isUsable() {
    return state == MemberState.ALIVE && flags.ready() && !flags.leaving() && !flags.overloaded();
  }
}
