package org.chivecross.logic.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chivecross.logic.membership.MemberView;
import org.chivecross.logic.membership.RendezvousHash;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.MemberState;

/**
 * Selects the entries that watch the platform by rendezvous hashing, as far as possible from
 * different data centres. Stateless.
 */
final class ReaderSelection {

  private static final long READER_HASH_KEY = 0x5EADE5L;

  private ReaderSelection() {}

  /** Returns whether this entry is selected as a reader according to its own view. */
  static boolean isReader(MemberView view, int readers) {
    List<EntryMember> ranked = new ArrayList<>();
    for (EntryMember other : view.others()) {
      boolean canRead = other.state() == MemberState.ALIVE && !other.flags().leaving();
      if (canRead && !other.flags().platformUnreachable()) {
        ranked.add(other);
      }
    }
    ranked.add(view.self());
    ranked.sort(
        Comparator.comparingLong(
            member -> RendezvousHash.weight(READER_HASH_KEY, member.incarnation())));
    return select(ranked, readers).contains(view.self());
  }

  private static Set<EntryMember> select(List<EntryMember> ranked, int readers) {
    Set<EntryMember> selected = new HashSet<>();
    Set<String> dataCentres = new HashSet<>();
    for (EntryMember member : ranked) {
      if (selected.size() < readers && dataCentres.add(member.dataCentre())) {
        selected.add(member);
      }
    }
    for (EntryMember member : ranked) {
      if (selected.size() < readers) {
        selected.add(member);
      }
    }
    return selected;
  }
}
