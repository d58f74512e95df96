package org.chivecross.logic.subset;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
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

  /**
   * Targets that each entry gets in one round of {@link #ordered}. With one, the loss of a target
   * moved more than twice the connections that it had.
   */
  private static final int TARGETS_PER_ROUND = 2;

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
    long[] entryKeys = entries.stream().mapToLong(Long::longValue).toArray();
    long[] targetKeys = targets.stream().mapToLong(RendezvousHash::of).toArray();
    Assignment assignment = new Assignment(entryKeys, targetKeys);
    int limit = maxSubsetsPerTarget(entryKeys.length, targetKeys.length, size);
    assignment.extend(size, target -> limit);
    for (int i = 0; i < entryKeys.length; i++) {
      Set<String> subset = subsets.getOrDefault(entryKeys[i], Set.of());
      assignment.lists.get(i).forEach(target -> subset.add(targets.get(target)));
    }
    return subsets;
  }

  /**
   * Returns the targets of each entry, in an order of which every even prefix is balanced: entries
   * that need different numbers of targets use prefixes of different lengths. The cost is that of
   * sorting one {@code long} for each pair.
   *
   * @param entries hashes of the entries
   * @param targets hashes of the targets
   * @param maxSize length of the longest prefix
   * @return for each entry the indexes of its targets
   */
  public static List<int[]> ordered(long[] entries, long[] targets, int maxSize) {
    Assignment assignment = new Assignment(entries, targets);
    int longest = Math.min(maxSize, targets.length);
    int size = 0;
    while (size < longest) {
      size = Math.min(longest, size + TARGETS_PER_ROUND);
      double mean = (double) entries.length * size / targets.length;
      // Without the first pass, a few targets would be in hardly any subset.
      assignment.extend(size, target -> (int) (mean / 2));
      assignment.extend(size, target -> limit(mean, targets[target]));
    }
    return assignment.lists.stream()
        .map(list -> list.stream().mapToInt(Integer::intValue).toArray())
        .toList();
  }

  /**
   * Returns the limit of one target. Whether it is rounded up depends on the target, so that one
   * entry or target more changes the limits of few targets instead of all.
   */
  private static int limit(double mean, long target) {
    double fraction = (RendezvousHash.weight(target, 0) >>> 1) / (double) Long.MAX_VALUE;
    return (int) (mean * LIMIT_MARGIN + fraction) + 1;
  }

  /** Pairs that are not assigned yet, and the targets of each entry so far. */
  private static final class Assignment {
    private final int targetCount;
    private final long indexMask;
    private long[] pairs;
    private final int[] subsetCounts;
    private final List<List<Integer>> lists = new ArrayList<>();

    Assignment(long[] entries, long[] targets) {
      targetCount = targets.length;
      pairs = new long[entries.length * targetCount];
      // The index of the pair takes the place of the lowest bits of its weight; sorting primitive
      // values is several times faster than sorting objects.
      indexMask = Math.max(1, Long.highestOneBit(Math.max(1, pairs.length)) * 2) - 1;
      for (int i = 0; i < pairs.length; i++) {
        long weight = RendezvousHash.weight(targets[i % targetCount], entries[i / targetCount]);
        pairs[i] = weight & ~indexMask | i;
      }
      Arrays.sort(pairs);
      subsetCounts = new int[targetCount];
      for (int i = 0; i < entries.length; i++) {
        lists.add(new ArrayList<>());
      }
    }

    /** Assigns pairs until each entry has {@code size} targets or no target is below its limit. */
    void extend(int size, IntUnaryOperator limitOfTarget) {
      int[] limits = IntStream.range(0, targetCount).map(limitOfTarget).toArray();
      int left = 0;
      for (long pair : pairs) {
        int index = (int) (pair & indexMask);
        int target = index % targetCount;
        List<Integer> list = lists.get(index / targetCount);
        if (list.size() < size && subsetCounts[target] < limits[target]) {
          subsetCounts[target]++;
          list.add(target);
        } else {
          pairs[left++] = pair;
        }
      }
      pairs = Arrays.copyOf(pairs, left);
    }
  }
}
