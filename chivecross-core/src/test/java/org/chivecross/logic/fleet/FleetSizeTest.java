package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** As many entries and targets as the larger deployments have. */
class FleetSizeTest {

  private static final int ENTRIES = 220;
  private static final int TARGETS = 280;

  /** A whole read takes several calls there, and each call has a price. */
  @Test
  void fewEntriesReadTheStoreAtTheFirstStart() {
    FleetWorld world = new FleetWorld(4, ENTRIES / 4, TARGETS, true);
    world.runMillis(4_000);
    assertEquals(ENTRIES, world.count(node -> node.targets().size() == TARGETS));
    assertTrue(world.wholeReads <= 16, world.wholeReads + " whole reads");
  }

  /** After a loss of power callers wait for the first read, so nobody waits long for others. */
  @Test
  void allEntriesKnowTheTargetsSoonAfterTheyStartAgain() {
    FleetWorld world = new FleetWorld(4, ENTRIES / 4, TARGETS, false);
    world.runMillis(400);
    assertEquals(ENTRIES, world.count(node -> node.targets().size() == TARGETS));
    assertTrue(world.wholeReads <= ENTRIES / 2, world.wholeReads + " whole reads");
  }

  @Test
  void messagesOfAnEntryDoNotGrowWithTheNumberOfEntries() {
    FleetWorld world = new FleetWorld(4, ENTRIES / 4, TARGETS, true);
    world.runMillis(8_000);
    assertEquals(ENTRIES, world.count(node -> node.others(world.now).size() == ENTRIES - 1));
    world.messages = 0;
    world.runMillis(5_000);
    int perEntryAndSecond = world.messages / ENTRIES / 5;
    assertTrue(perEntryAndSecond <= 12, perEntryAndSecond + " messages");
  }

  /** The entries that pass heartbeats on vanish together. */
  @Test
  void othersPassHeartbeatsOnWhenTheFirstOnesAreGone() {
    FleetWorld world = new FleetWorld(4, ENTRIES / 4, TARGETS, true);
    world.runMillis(8_000);
    for (int i = 1; i <= 3; i++) {
      world.stop("10.2.0." + i);
    }
    world.runMillis(9_000);
    assertEquals(ENTRIES - 3, world.count(node -> node.others(world.now).size() == ENTRIES - 4));
  }

  /** Entries start within 0.3 s, the seeds know few of them, and some datagrams are lost. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void newRulesReachAllEntriesAfterAFirstStart(long seed) {
    FleetWorld world = new FleetWorld(4, ENTRIES / 4, TARGETS, true, seed);
    world.lostPart = 0.02;
    world.spreadStarts(300);
    world.runMillis(12_000);
    assertEquals(ENTRIES, world.count(node -> node.others(world.now).size() == ENTRIES - 1));
    world.changeRules(2);
    world.runMillis(2_000);
    assertEquals(ENTRIES, world.count(node -> node.rules().orElseThrow().version() == 2));
  }
}
