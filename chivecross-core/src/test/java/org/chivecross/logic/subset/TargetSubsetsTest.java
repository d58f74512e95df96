package org.chivecross.logic.subset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class TargetSubsetsTest {

  private static final int ENTRIES = 100;
  private static final int TARGETS = 40;
  private static final int SIZE = 12;

  private final List<Long> entries = new ArrayList<>();
  private final List<String> targets = new ArrayList<>();

  TargetSubsetsTest() {
    SplittableRandom random = new SplittableRandom(7);
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(random.nextLong());
    }
    for (int i = 0; i < TARGETS; i++) {
      targets.add("10.1.0." + i + ":80");
    }
  }

  private static int moved(Map<Long, Set<String>> before, Map<Long, Set<String>> after) {
    int moved = 0;
    for (Map.Entry<Long, Set<String>> subset : after.entrySet()) {
      for (String target : subset.getValue()) {
        boolean isKept = before.getOrDefault(subset.getKey(), Set.of()).contains(target);
        moved += isKept ? 0 : 1;
      }
    }
    return moved;
  }

  @Test
  void everyEntryGetsItsSizeAndNoTargetIsOverLimit() {
    Map<Long, Set<String>> subsets = TargetSubsets.assign(entries, targets, SIZE);
    Map<String, Integer> cover = new HashMap<>();
    subsets.values().forEach(set -> set.forEach(target -> cover.merge(target, 1, Integer::sum)));
    subsets.values().forEach(set -> assertEquals(SIZE, set.size()));
    int limit = TargetSubsets.maxSubsetsPerTarget(ENTRIES, TARGETS, SIZE);
    targets.forEach(target -> assertTrue(cover.getOrDefault(target, 0) <= limit));
    targets.forEach(target -> assertTrue(cover.getOrDefault(target, 0) >= limit / 2));
  }

  @Test
  void lossOfAnEntryMovesFewConnectionsOfTheOthers() {
    Map<Long, Set<String>> before = TargetSubsets.assign(entries, targets, SIZE);
    int total = 0;
    for (int i = 0; i < ENTRIES; i++) {
      List<Long> fewer = new ArrayList<>(entries);
      fewer.remove(i);
      total += moved(before, TargetSubsets.assign(fewer, targets, SIZE));
    }
    // The ideal is that only the connections of the lost entry move.
    assertTrue(total <= 2 * ENTRIES * SIZE, "moved " + (double) total / ENTRIES);
  }

  @Test
  void lossOfATargetMovesAtMostTwiceItsConnections() {
    Map<Long, Set<String>> before = TargetSubsets.assign(entries, targets, SIZE);
    int total = 0;
    for (int i = 0; i < TARGETS; i++) {
      List<String> fewer = new ArrayList<>(targets);
      fewer.remove(i);
      total += moved(before, TargetSubsets.assign(entries, fewer, SIZE));
    }
    assertTrue(total <= 2 * ENTRIES * SIZE, "moved " + (double) total / TARGETS);
  }
}
