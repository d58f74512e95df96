package org.chivecross.logic.subset;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Orders of targets by entry, whose prefixes of any length must be balanced and stable. */
class TargetOrderTest {

  private static final int MAX_SIZE = 16;

  private static long[] hashes(int count, long seed) {
    return new SplittableRandom(seed).longs(count).toArray();
  }

  private static long[] without(long[] values, int index) {
    return LongStream.range(0, values.length)
        .filter(i -> i != index)
        .map(i -> values[(int) i])
        .toArray();
  }

  private static Set<Long> prefix(int[] order, long[] targets, int size) {
    Set<Long> prefix = new HashSet<>();
    Arrays.stream(order).limit(size).forEach(i -> prefix.add(targets[i]));
    return prefix;
  }

  /** A target in many more subsets than others would be full while others are idle. */
  @ParameterizedTest
  @CsvSource({"3", "20", "230", "1000"})
  void everyPrefixIsBalanced(int entryCount) {
    for (int targetCount : new int[] {4, 16, 115, 300}) {
      List<int[]> orders =
          TargetSubsets.ordered(hashes(entryCount, 1), hashes(targetCount, 2), MAX_SIZE);
      for (int size : new int[] {4, 8, 16}) {
        int needed = Math.min(size, targetCount);
        int[] cover = new int[targetCount];
        orders.forEach(order -> Arrays.stream(order).limit(needed).forEach(i -> cover[i]++));
        int most = Arrays.stream(cover).max().orElse(0);
        int least = Arrays.stream(cover).min().orElse(0);
        String seen = entryCount + "x" + targetCount + ": " + least + " to " + most;
        orders.forEach(order -> assertTrue(order.length >= needed, seen));
        int limit = TargetSubsets.maxSubsetsPerTarget(entryCount, targetCount, size) + 1;
        assertTrue(most <= limit, seen);
        assertTrue(least >= entryCount * needed / targetCount / 2, seen);
      }
    }
  }

  /** Each moved pair opens a connection; decision 0043 allows twice those that have to move. */
  @ParameterizedTest
  @CsvSource({"3,115", "20,64", "40,38", "58,54", "230,16", "230,214"})
  void aLossMovesFewPairs(int entryCount, int targetCount) {
    long[] entries = hashes(entryCount, 1);
    long[] targets = hashes(targetCount, 2);
    List<int[]> before = TargetSubsets.ordered(entries, targets, MAX_SIZE);
    for (int size : new int[] {4, 8, 16}) {
      int byEntry = 0;
      int byTarget = 0;
      int lostPairs = 0;
      int runs = Math.min(entryCount, targetCount);
      for (int lost = 0; lost < runs; lost++) {
        long[] fewer = without(targets, lost);
        List<int[]> withoutEntry = TargetSubsets.ordered(without(entries, lost), targets, MAX_SIZE);
        List<int[]> withoutTarget = TargetSubsets.ordered(entries, fewer, MAX_SIZE);
        for (int i = 0; i < entryCount; i++) {
          Set<Long> old = prefix(before.get(i), targets, size);
          lostPairs += old.contains(targets[lost]) ? 1 : 0;
          byTarget += moved(old, prefix(withoutTarget.get(i), fewer, size));
          if (i != lost) {
            int[] now = withoutEntry.get(i < lost ? i : i - 1);
            byEntry += moved(old, prefix(now, targets, size));
          }
        }
      }
      String seen = size + ": " + byEntry + ", " + byTarget + " of " + lostPairs + " in " + runs;
      assertTrue(byEntry <= 2 * runs * size, seen);
      assertTrue(byTarget <= 2 * lostPairs, seen);
    }
  }

  private static int moved(Set<Long> before, Set<Long> after) {
    return (int) after.stream().filter(target -> !before.contains(target)).count();
  }
}
