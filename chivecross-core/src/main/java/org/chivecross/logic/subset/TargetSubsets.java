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
 * Assigns a subset of the targets of a service to each entry (subsetting), so that each target has
 * few connections.
 *
 * <p>All pairs of an entry and a target are sorted by rendezvous weight, and a pair is chosen if
 * its entry still needs targets and its target is below its limit. Every entry computes the same
 * subsets from the same view, without communication.
 *
 * <p>Invariant: no target is in more subsets than {@link #maxSubsetsPerTarget}. Stateless.
 */
public final class TargetSubsets {

  /** Factor by which the limit of a target exceeds the mean number of subsets. */
  private static final double LIMIT_MARGIN = 1.15;

  /** An entry and a target with their weight. */
  private record Pair(int entry, int target, long weight) {}

  private TargetSubsets() {}

  /**
   * Returns the maximum number of subsets that a target may be in.
   *
   * @param entries number of entries
   * @param targets number of targets
   * @param size number of targets that each entry needs
   */
  public static int maxSubsetsPerTarget(int entries, int targets, int size) {
    double mean = (double) entries * Math.min(size, targets) / targets;
    return (int) Math.ceil(mean * LIMIT_MARGIN);
  }

  /**
   * Returns the targets of each entry, by the incarnation of the entry.
   *
   * @param entries incarnations of the entries
   * @param targets addresses of the targets
   * @param size number of targets that each entry needs
   */
  public static Map<Long, Set<String>> assign(List<Long> entries, List<String> targets, int size) {
    Map<Long, Set<String>> subsets = new HashMap<>();
    entries.forEach(entry -> subsets.put(entry, new HashSet<>()));
    if (targets.isEmpty()) {
      return subsets;
    }
    int limit = maxSubsetsPerTarget(entries.size(), targets.size(), size);
    int[] subsetCounts = new int[targets.size()];
    for (Pair pair : pairs(entries, targets)) {
      Set<String> subset = subsets.getOrDefault(entries.get(pair.entry()), Set.of());
      if (subset.size() < size && subsetCounts[pair.target()] < limit) {
        subsetCounts[pair.target()]++;
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
