package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.chivecross.logic.membership.RendezvousHash;

/**
 * Ring of entries in the order of the hashes of their IP addresses, which all entries compute
 * alike. Stateless.
 *
 * <p>The answers of the candidates themselves name each candidate equally often. An arrival or a
 * loss changes one address in the answers that contain its position, and none in the others.
 */
final class DirectoryRing {

  /** An entry and its position on the ring. */
  private record Position(long hash, String ip) implements Comparable<Position> {

    private static final Comparator<Position> ORDER =
        Comparator.comparingLong(Position::hash).thenComparing(Position::ip);

    static Position of(String ip) {
      return new Position(RendezvousHash.of(ip), ip);
    }

    @Override
    public int compareTo(Position other) {
      return ORDER.compare(this, other);
    }
  }

  private DirectoryRing() {}

  /**
   * Returns the {@code count} candidates that follow an entry on the ring, first the entry itself
   * if it is a candidate; or all candidates in their given order if they are not more.
   *
   * @param candidates IP addresses, each one once
   */
  static List<String> successors(String ip, List<String> candidates, int count) {
    if (candidates.size() <= count) {
      return candidates;
    }
    List<Position> ring = new ArrayList<>(candidates.size());
    candidates.forEach(candidate -> ring.add(Position.of(candidate)));
    Collections.sort(ring);
    int found = Collections.binarySearch(ring, Position.of(ip));
    int start = found >= 0 ? found : -found - 1;
    List<String> selected = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      selected.add(ring.get((start + i) % ring.size()).ip());
    }
    return selected;
  }
}
