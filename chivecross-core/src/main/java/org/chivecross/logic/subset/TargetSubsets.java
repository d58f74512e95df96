package org.chivecross.logic.subset;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivecross.logic.membership.RendezvousHash;

/**
 * Gives each entry a subset of the targets of a service, so that each target has few connections.
 *
 * <p>All pairs of an entry and a target are taken in the order of their rendezvous weights, and a
 * pair is chosen while its entry needs targets and its target has room. Every entry computes the
 * same subsets from the same view, without a word to the others.
 *
 * <p>Invariant: no target is in more subsets than {@link #maxSubsetsPerTarget}. Stateless.
 */
public final class TargetSubsets {

  private static final double LIMIT_MARGIN = 1.15;

  /** An entry and a target with their weight. */
  private record Pair(int entry, int target, long weight) {}

  private TargetSubsets() {}

  /**
   * Returns the most subsets that a target is in.
   *
   * @param entries number of entries
   * @param targets number of targets
   * @param size targets that each entry needs
   */
  public static int maxSubsetsPerTarget(int entries, int targets, int size) {
    double mean = (double) entries * Math.min(size, targets) / targets;
    return (int) Math.ceil(mean * LIMIT_MARGIN);
  }

  /**
   * Returns the targets of each entry, by the entry's incarnation.
   *
   * @param entries incarnations of the entries
   * @param targets addresses of the targets
   * @param size targets that each entry needs
   */
  public static Map<Long, Set<String>> assign(List<Long> entries, List<String> targets, int size) {
    Map<Long, Set<String>> subsets = new HashMap<>();
    entries.forEach(entry -> subsets.put(entry, new HashSet<>()));
    if (targets.isEmpty()) {
      return subsets;
    }
    int limit = maxSubsetsPerTarget(entries.size(), targets.size(), size);
    int[] taken = new int[targets.size()];
    for (Pair pair : pairs(entries, targets)) {
      Set<String> subset = subsets.getOrDefault(entries.get(pair.entry()), Set.of());
      if (subset.size() < size && taken[pair.target()] < limit) {
        taken[pair.target()]++;
        subset.add(targets.get(pair.target()));
      }
    }
    return subsets;
  }

  private static List<Pair> pairs(List<Long> entries, List<String> targets) {
    long[] keys = targets.stream().mapToLong(RendezvousHash::of).toArray();
    List<Pair> pairs = new ArrayList<>(entries.size() * keys.length);
    for (int i = 0; i < entries.size(); i++) {
      for (int j = 0; j < keys.length; j++) {
        pairs.add(new Pair(i, j, RendezvousHash.weight(keys[j], entries.get(i))));
      }
    }
    pairs.sort(Comparator.comparingLong(Pair::weight));
    return pairs;
  }
}
