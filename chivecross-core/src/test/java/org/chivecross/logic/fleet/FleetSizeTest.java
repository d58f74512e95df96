package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

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
      world.entry("10.2.0." + i).running = false;
    }
    world.runMillis(9_000);
    assertEquals(ENTRIES - 3, world.count(node -> node.others(world.now).size() == ENTRIES - 4));
  }
}
