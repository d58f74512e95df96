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
 * Chooses the entries that watch the platform: by rendezvous hash, each from another data centre
 * while there is one. Stateless.
 */
final class ReaderChoice {

  private static final long READER_KEY = 0x5EADE5L;

  private ReaderChoice() {}

  /** Returns whether this entry is one of the readers in its own view. */
  static boolean isReader(MemberView view, int readers) {
    List<EntryMember> ranked = new ArrayList<>();
    for (EntryMember other : view.others()) {
      boolean able = other.state() == MemberState.ALIVE && !other.flags().leaving();
      if (able && !other.flags().platformUnreachable()) {
        ranked.add(other);
      }
    }
    ranked.add(view.self());
    ranked.sort(
        Comparator.comparingLong(
            member -> RendezvousHash.weight(READER_KEY, member.incarnation())));
    return choose(ranked, readers).contains(view.self());
  }

  private static Set<EntryMember> choose(List<EntryMember> ranked, int readers) {
    Set<EntryMember> chosen = new HashSet<>();
    Set<String> dataCentres = new HashSet<>();
    for (EntryMember member : ranked) {
      if (chosen.size() < readers && dataCentres.add(member.dataCentre())) {
        chosen.add(member);
      }
    }
    for (EntryMember member : ranked) {
      if (chosen.size() < readers) {
        chosen.add(member);
      }
    }
    return chosen;
  }
}
