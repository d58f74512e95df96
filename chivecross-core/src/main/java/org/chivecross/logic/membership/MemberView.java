package org.chivecross.logic.membership;

import java.util.List;
import java.util.Optional;
import org.chivecross.model.peer.EntryMember;

/**
 * Snapshot of the membership as one entry sees it. Immutable and safe for use by many threads.
 *
 * @param self this entry
 * @param others all other entries, dead ones included
 * @param isUpToDate false after a pause of this process, until a peer has answered or the wait for
 *     an answer has timed out
 */
public record MemberView(EntryMember self, List<EntryMember> others, boolean isUpToDate) {
  public MemberView {
    others = List.copyOf(others);
  }

  /** Returns the entry with the given incarnation, in any state. */
  public Optional<EntryMember> find(long incarnation) {
    if (self.incarnation() == incarnation) {
      return Optional.of(self);
    }
    for (EntryMember other : others) {
      if (other.incarnation() == incarnation) {
        return Optional.of(other);
      }
    }
    return Optional.empty();
  }
}
