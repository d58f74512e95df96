package org.chivecross.logic.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chivecross.model.peer.EntryMember;

/**
 * Neighbours of one entry on several hash rings, each of which orders the incarnations by its own
 * hash.
 *
 * <p>Invariant: when all views are equal, each entry is the successor of exactly one entry on each
 * ring, so the cost of probing per entry is independent of the number of entries. The union of the
 * rings connects all entries with a diameter that grows with the logarithm of their number.
 * Immutable and safe for use by many threads.
 */
public final class RingNeighbours {

  private final List<EntryMember> successors;
  private final List<EntryMember> all;

  private RingNeighbours(List<EntryMember> successors, List<EntryMember> all) {
    this.successors = List.copyOf(successors);
    this.all = List.copyOf(all);
  }

  /** Returns the neighbours of {@code self} among {@code others}. */
  public static RingNeighbours of(long self, List<EntryMember> others, int rings) {
    Set<EntryMember> successors = new LinkedHashSet<>();
    Set<EntryMember> all = new LinkedHashSet<>();
    for (int ring = 0; ring < rings; ring++) {
      nearestOnRing(self, others, ring, 1).ifPresent(successors::add);
      nearestOnRing(self, others, ring, -1).ifPresent(all::add);
    }
    all.addAll(successors);
    return new RingNeighbours(new ArrayList<>(successors), new ArrayList<>(all));
  }

  private static Optional<EntryMember> nearestOnRing(
      long self, List<EntryMember> others, int ring, int direction) {
    long origin = RendezvousHash.weight(ring, self);
    EntryMember best = null;
    long bestDistance = 0;
    for (EntryMember other : others) {
      long distance = (RendezvousHash.weight(ring, other.incarnation()) - origin) * direction;
      if (best == null || Long.compareUnsigned(distance, bestDistance) < 0) {
        best = other;
        bestDistance = distance;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the entries that this entry probes. */
  List<EntryMember> successors() {
    return successors;
  }

  /** Returns the successors and predecessors, to which gossip updates are sent. */
  public List<EntryMember> all() {
    return all;
  }
}
