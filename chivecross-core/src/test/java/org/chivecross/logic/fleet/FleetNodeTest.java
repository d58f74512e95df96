package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.chivecross.model.fleet.FleetMessage;
import org.chivecross.model.fleet.ViewUpdate;
import org.chivecross.model.registry.RegisteredTarget;
import org.junit.jupiter.api.Test;

/** Twelve entries in three data centres. */
class FleetNodeTest {

  private static final long BOUND_MILLIS = 2_000;

  private final FleetWorld world = new FleetWorld(3, 4, 6, false);

  private static boolean isLeaving(FleetNode node, String id) {
    return node.targets().stream()
        .filter(target -> target.id().equals(id))
        .allMatch(RegisteredTarget::leaving);
  }

  @Test
  void allEntriesFindEachOtherAndTheTargets() {
    world.runMillis(5_000);
    assertEquals(12, world.count(node -> node.others(world.now).size() == 11));
    assertEquals(12, world.count(node -> node.targets().size() == 6 && node.rules().isPresent()));
  }

  @Test
  void fewReadsServeAllEntries() {
    world.runMillis(5_000);
    world.reads = 0;
    world.runMillis(10_000);
    assertTrue(world.reads <= 40, world.reads + " world.reads in 10 s");
  }

  @Test
  void leavingTargetIsKnownEverywhereWithinTheBound() {
    world.runMillis(5_000);
    world.put("t3", 1, true);
    world.runMillis(BOUND_MILLIS / 2);
    assertEquals(12, world.count(node -> isLeaving(node, "t3")));
  }

  /** The readers vanish at the moment at which a target leaves. */
  @Test
  void otherEntriesReadWhenTheFirstOnesAreGone() {
    world.runMillis(5_000);
    for (String ip : List.of("10.1.0.1", "10.2.0.1", "10.3.0.1")) {
      world.stop(ip);
    }
    world.put("t3", 1, true);
    world.runMillis(BOUND_MILLIS);
    assertEquals(9, world.count(node -> isLeaving(node, "t3")));
  }

  /** The store turns some world.entries away and serves the others. */
  @Test
  void entriesThatAreTurnedAwayLearnFromTheOthers() {
    world.runMillis(5_000);
    for (String ip : List.of("10.1.0.1", "10.1.0.2", "10.2.0.1", "10.3.0.4")) {
      world.entry(ip).turnedAway = true;
    }
    world.runMillis(300);
    world.put("t3", 1, true);
    world.changeRules(2);
    world.runMillis(BOUND_MILLIS);
    assertEquals(12, world.count(node -> isLeaving(node, "t3")));
    assertEquals(12, world.count(node -> node.rules().orElseThrow().version() == 2));
  }

  /** Registrations lapse while the store is away, and the targets come back within 2 s. */
  @Test
  void lapsedRegistrationsAreKeptUntilTheyMayBeBack() {
    world.runMillis(5_000);
    world.storeDown = true;
    world.runMillis(4_000);
    RegisteredTarget lapsed = world.remove("t1");
    RegisteredTarget gone = world.remove("t2");
    world.storeDown = false;
    world.runMillis(1_500);
    assertEquals(12, world.count(node -> node.targets().size() == 6));
    world.put(lapsed);
    world.runMillis(3_500);
    assertEquals(12, world.count(node -> node.targets().size() == 5));
    assertEquals(0, world.count(node -> node.targets().contains(gone)));
  }

  /**
   * The entry that world.reads that targets are back is another one than read that they had lapsed.
   */
  @Test
  void targetsThatAreBackStayKnownWhicheverEntryReadsIt() {
    world.runMillis(5_000);
    world.storeDown = true;
    world.runMillis(4_000);
    RegisteredTarget lapsed = world.remove("t1");
    world.entries.values().forEach(entry -> entry.turnedAway = true);
    world.entry("10.2.0.3").turnedAway = false;
    world.storeDown = false;
    world.runMillis(1_300);
    assertEquals(12, world.count(node -> node.targets().size() == 6));
    world.put(lapsed);
    world.entry("10.2.0.3").turnedAway = true;
    world.entry("10.1.0.1").turnedAway = false;
    world.runMillis(5_000);
    assertEquals(12, world.count(node -> node.targets().size() == 6));
  }

  @Test
  void outageOfTheStoreIsNotAnsweredByAStampede() {
    world.runMillis(5_000);
    world.storeDown = true;
    world.reads = 0;
    world.runMillis(5_000);
    assertTrue(world.reads <= 12 * 9, world.reads + " world.reads in 5 s");
  }

  @Test
  void rulesNeverGoBack() {
    world.runMillis(3_000);
    world.changeRules(9);
    world.runMillis(2_000);
    world.changeRules(4);
    world.runMillis(2_000);
    assertEquals(12, world.count(node -> node.rules().orElseThrow().version() == 9));
  }

  private double partsOfAll() {
    return world.entries.values().stream()
        .mapToDouble(entry -> entry.node.budgetShare(world.now))
        .sum();
  }

  /** One data centre has most of the callers. */
  @Test
  void partsOfBudgetsFollowTheLoadAndAddUpToOne() {
    world.entry("10.1.0.1").node.setRequestsPerSecond(99);
    assertTrue(partsOfAll() <= 1, "before they know each other");
    world.runMillis(5_000);
    assertEquals(1.0, partsOfAll(), 0.01);
    assertEquals(100.0 / 111, world.entry("10.1.0.1").node.budgetShare(world.now), 0.01);
  }

  /** An entry that is cut off from the others goes on serving; its part is still its own. */
  @Test
  void partsOfBudgetsDoNotGrowWhileEntriesAreCutOff() {
    world.runMillis(5_000);
    assertEquals(1.0, partsOfAll(), 0.01);
    FleetWorld.Entry cut = world.entry("10.2.0.2");
    cut.reachable = false;
    world.runMillis(8_000);
    assertEquals(0, cut.node.others(world.now).size());
    assertTrue(partsOfAll() <= 1.01, "parts add up to " + partsOfAll());
  }

  /** A burst of requests is over; the budgets of all entries are in use again. */
  @Test
  void partsOfBudgetsAddUpToOneAfterABurst() {
    world.entries.values().forEach(entry -> entry.node.setRequestsPerSecond(80));
    world.runMillis(5_000);
    partsOfAll();
    world.entries.values().forEach(entry -> entry.node.setRequestsPerSecond(8));
    world.runMillis(5_000);
    assertEquals(1.0, partsOfAll(), 0.01);
  }

  /** Its news carry a revision beyond that of the rules, but never the rules, and keep coming. */
  @Test
  void rulesThatNobodyTellsAreReadFromTheStore() {
    FleetWorld alone = new FleetWorld(1, 1, 3, false);
    alone.runMillis(2_000);
    FleetNode node = alone.entry("10.1.0.1").node;
    alone.changeRules(2);
    ViewUpdate news =
        new ViewUpdate(alone.revision, 0, 0, 2, false, List.of(), List.of(), Optional.empty());
    for (int i = 0; i < 20; i++) {
      FleetMessage message =
          new FleetMessage(9, "dc2", true, false, false, 2, 0, List.of(), Optional.of(news));
      node.received("10.2.0.9", message, alone.now);
      alone.runMillis(100);
    }
    assertEquals(2, node.rules().orElseThrow().version());
  }
}
