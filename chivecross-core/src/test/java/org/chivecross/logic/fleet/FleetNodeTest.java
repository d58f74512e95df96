package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.chivecross.model.fleet.FleetMessage;
import org.chivecross.model.fleet.TargetEvidence;
import org.chivecross.model.fleet.ViewUpdate;
import org.chivecross.model.registry.RegisteredTarget;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests gossip between twelve entries in three data centres. */
class FleetNodeTest {

  private static final long BOUND_MILLIS = 2_000;

  /** Time after which nothing is sent to a target whose removal the store acknowledged. */
  private static final long DRAIN_MILLIS = 2_000;

  /** Time from which an entry that was cut off is bound by that. */
  private static final long IN_TOUCH_AGAIN_MILLIS = 3_000;

  /** Why an entry did not read the store. */
  private enum Gap {
    REFUSED,
    SUSPENDED
  }

  private final GossipSimulation simulation = new GossipSimulation(3, 4, 6, false);

  private static boolean isLeaving(FleetNode node, String id) {
    return node.targets(0).stream()
        .filter(target -> target.id().equals(id))
        .allMatch(RegisteredTarget::leaving);
  }

  @Test
  void allEntriesFindEachOtherAndTheTargets() {
    simulation.runMillis(5_000);
    assertEquals(12, simulation.count(node -> node.others(simulation.now).size() == 11));
    assertEquals(
        12,
        simulation.count(
            node -> node.targets(simulation.now).size() == 6 && node.rules().isPresent()));
  }

  @Test
  void fewStoreReadsServeAllEntries() {
    simulation.runMillis(5_000);
    simulation.reads = 0;
    simulation.runMillis(10_000);
    assertTrue(simulation.reads <= 40, simulation.reads + " reads in 10 s");
  }

  @Test
  void leavingTargetReachesAllEntriesWithinTheBound() {
    simulation.runMillis(5_000);
    simulation.put("t3", 1, true);
    simulation.runMillis(BOUND_MILLIS / 2);
    assertEquals(12, simulation.count(node -> isLeaving(node, "t3")));
  }

  /** The entries of lowest rank, which normally read the store, stop when a target leaves. */
  @Test
  void laterRankedEntriesReadWhenTheFirstOnesStop() {
    simulation.runMillis(5_000);
    for (String ip : List.of("10.1.0.1", "10.2.0.1", "10.3.0.1")) {
      simulation.stop(ip);
    }
    simulation.put("t3", 1, true);
    simulation.runMillis(BOUND_MILLIS);
    assertEquals(9, simulation.count(node -> isLeaving(node, "t3")));
  }

  /** The store refuses some entries and serves the others. */
  @Test
  void entriesRefusedByTheStoreReceiveUpdatesFromOthers() {
    simulation.runMillis(5_000);
    for (String ip : List.of("10.1.0.1", "10.1.0.2", "10.2.0.1", "10.3.0.4")) {
      simulation.entry(ip).refusedByStore = true;
    }
    simulation.runMillis(300);
    simulation.put("t3", 1, true);
    simulation.changeRules(2);
    simulation.runMillis(BOUND_MILLIS);
    assertEquals(12, simulation.count(node -> isLeaving(node, "t3")));
    assertEquals(12, simulation.count(node -> node.rules().orElseThrow().version() == 2));
  }

  /**
   * Registrations expire during an outage of the store, although the targets are alive. Targets
   * that register again within 2 s must stay known; the others are dropped after the retention.
   */
  @Test
  void registrationsExpiredDuringAnOutageAreRetained() {
    simulation.runMillis(5_000);
    simulation.storeDown = true;
    simulation.runMillis(4_000);
    RegisteredTarget expired = simulation.remove("t1");
    RegisteredTarget stopped = simulation.remove("t2");
    simulation.storeDown = false;
    simulation.runMillis(1_500);
    assertEquals(12, simulation.count(node -> node.targets(simulation.now).size() == 6));
    simulation.put(expired);
    simulation.runMillis(3_500);
    assertEquals(12, simulation.count(node -> node.targets(simulation.now).size() == 5));
    assertEquals(0, simulation.count(node -> node.targets(simulation.now).contains(stopped)));
  }

  /**
   * The entry that reads a renewed registration is not the one that read its expiry. The end of the
   * retention in the first entry must not remove the target from the others.
   */
  @Test
  void renewedRegistrationSurvivesAChangeOfReader() {
    simulation.runMillis(5_000);
    simulation.storeDown = true;
    simulation.runMillis(4_000);
    RegisteredTarget expired = simulation.remove("t1");
    simulation.entries.values().forEach(entry -> entry.refusedByStore = true);
    simulation.entry("10.2.0.3").refusedByStore = false;
    simulation.storeDown = false;
    simulation.runMillis(1_300);
    assertEquals(12, simulation.count(node -> node.targets(simulation.now).size() == 6));
    simulation.put(expired);
    simulation.entry("10.2.0.3").refusedByStore = true;
    simulation.entry("10.1.0.1").refusedByStore = false;
    simulation.runMillis(5_000);
    assertEquals(12, simulation.count(node -> node.targets(simulation.now).size() == 6));
  }

  /** Guards against removed targets that stay in use since only this entry could not read. */
  @ParameterizedTest
  @CsvSource({"1, REFUSED", "12, REFUSED", "1, SUSPENDED", "12, SUSPENDED"})
  void targetRemovedAfterAGapOfOneEntryIsDroppedWithinTheDrainBound(int entries, Gap gap) {
    for (int seed = 0; seed < 20; seed++) {
      GossipSimulation fleet =
          new GossipSimulation(entries > 1 ? 3 : 1, Math.max(1, entries / 3), 6, false, seed);
      GossipSimulation.Entry entry = fleet.entry("10.1.0.1");
      fleet.runMillis(5_000 + 37 * seed);
      fleet.entries.values().forEach(other -> other.refusedByStore = gap == Gap.REFUSED);
      entry.stopped = gap == Gap.SUSPENDED;
      entry.running = gap != Gap.SUSPENDED;
      fleet.runMillis(4_000);
      fleet.entries.values().forEach(other -> other.refusedByStore = false);
      entry.running = true;
      long sinceEndMillis = 100 + 150 * seed;
      fleet.runMillis(sinceEndMillis);
      RegisteredTarget removed = fleet.remove("t1");
      fleet.runMillis(Math.max(DRAIN_MILLIS, IN_TOUCH_AGAIN_MILLIS - sinceEndMillis));
      assertEquals(0, fleet.count(node -> knows(node, fleet.now, removed)), "seed " + seed);
    }
  }

  private static boolean knows(FleetNode node, long now, RegisteredTarget target) {
    return node.targets(now).stream().anyMatch(known -> known.id().equals(target.id()));
  }

  /** What expired in an outage stays known, what is removed after it is dropped in time. */
  @Test
  void targetRemovedAfterAnOutageIsDroppedWithinTheDrainBound() {
    simulation.runMillis(5_000);
    simulation.storeDown = true;
    simulation.runMillis(4_000);
    RegisteredTarget expired = simulation.remove("t1");
    simulation.storeDown = false;
    simulation.runMillis(1_400);
    RegisteredTarget stopped = simulation.remove("t2");
    assertEquals(12, simulation.count(node -> knows(node, simulation.now, expired)));
    simulation.put(expired);
    simulation.runMillis(DRAIN_MILLIS);
    assertEquals(0, simulation.count(node -> knows(node, simulation.now, stopped)));
    assertEquals(12, simulation.count(node -> knows(node, simulation.now, expired)));
  }

  @Test
  void readRateStaysBoundedDuringAStoreOutage() {
    simulation.runMillis(5_000);
    simulation.storeDown = true;
    simulation.reads = 0;
    simulation.runMillis(5_000);
    assertTrue(simulation.reads <= 12 * 9, simulation.reads + " reads in 5 s");
  }

  @Test
  void rulesVersionNeverDecreases() {
    simulation.runMillis(3_000);
    simulation.changeRules(9);
    simulation.runMillis(2_000);
    simulation.changeRules(4);
    simulation.runMillis(2_000);
    assertEquals(12, simulation.count(node -> node.rules().orElseThrow().version() == 9));
  }

  private double sumOfBudgetShares() {
    return simulation.entries.values().stream()
        .mapToDouble(entry -> entry.node.budgetShare(simulation.now))
        .sum();
  }

  /** One entry receives most of the requests. */
  @Test
  void budgetSharesFollowTheLoadAndSumToOne() {
    simulation.entry("10.1.0.1").node.setRequestsPerSecond(99);
    assertTrue(sumOfBudgetShares() <= 1, "before the entries have found each other");
    simulation.runMillis(5_000);
    assertEquals(1.0, sumOfBudgetShares(), 0.01);
    assertEquals(100.0 / 111, simulation.entry("10.1.0.1").node.budgetShare(simulation.now), 0.01);
  }

  /** An entry that is partitioned from the others still serves, so its share must stay reserved. */
  @Test
  void budgetSharesDoNotGrowDuringAPartition() {
    simulation.runMillis(5_000);
    assertEquals(1.0, sumOfBudgetShares(), 0.01);
    GossipSimulation.Entry partitioned = simulation.entry("10.2.0.2");
    partitioned.reachable = false;
    simulation.runMillis(8_000);
    assertEquals(0, partitioned.node.others(simulation.now).size());
    assertTrue(sumOfBudgetShares() <= 1.01, "shares add up to " + sumOfBudgetShares());
  }

  /** Both sides of a partition serve their callers, for longer than any heartbeat is remembered. */
  @Test
  void budgetSharesOfBothSidesSumToOneDuringALongPartition() {
    simulation.entries.values().forEach(entry -> entry.node.setReady(true, simulation.now));
    simulation.runMillis(5_000);
    assertEquals(1.0, sumOfBudgetShares(), 0.01);
    simulation
        .entries
        .values()
        .forEach(entry -> entry.partition = entry.ip.startsWith("10.1.") ? 1 : 0);
    for (int second = 0; second < 90; second += 5) {
      simulation.runMillis(5_000);
      assertTrue(sumOfBudgetShares() <= 1.01, "after " + second + " s: " + sumOfBudgetShares());
    }
  }

  /** Entries that stop as planned leave their shares to the others. */
  @Test
  void budgetSharesOfStoppedEntriesAreGivenToTheOthers() {
    simulation.entries.values().forEach(entry -> entry.node.setReady(true, simulation.now));
    simulation.runMillis(5_000);
    assertEquals(1.0, sumOfBudgetShares(), 0.01);
    for (int i = 2; i <= 4; i++) {
      GossipSimulation.Entry stopping = simulation.entry("10.3.0." + i);
      stopping.node.setReady(false, simulation.now);
      for (int step = 0; step < 9; step++) {
        simulation.runMillis(500);
        sumOfBudgetShares();
      }
      simulation.stop(stopping.ip);
    }
    simulation.runMillis(40_000);
    double sum =
        simulation.entries.values().stream()
            .filter(entry -> entry.running)
            .mapToDouble(entry -> entry.node.budgetShare(simulation.now))
            .sum();
    assertEquals(1.0, sum, 0.01);
  }

  /** The loads of a past burst must not count any longer, or a part of the budgets is unused. */
  @Test
  void budgetSharesSumToOneAfterABurst() {
    simulation.entries.values().forEach(entry -> entry.node.setRequestsPerSecond(80));
    simulation.runMillis(5_000);
    sumOfBudgetShares();
    simulation.entries.values().forEach(entry -> entry.node.setRequestsPerSecond(8));
    simulation.runMillis(5_000);
    assertEquals(1.0, sumOfBudgetShares(), 0.01);
  }

  /**
   * Updates advertise newer rules and a later revision, but never contain the rules. They must not
   * postpone the read of the store indefinitely.
   */
  @Test
  void advertisedRulesThatNeverArriveAreReadFromTheStore() {
    GossipSimulation single = new GossipSimulation(1, 1, 3, false);
    single.runMillis(2_000);
    FleetNode node = single.entry("10.1.0.1").node;
    single.changeRules(2);
    ViewUpdate update =
        new ViewUpdate(single.version(), 0, 0, 2, false, List.of(), List.of(), Optional.empty());
    for (int i = 0; i < 20; i++) {
      FleetMessage message =
          new FleetMessage(
              9,
              "dc2",
              true,
              false,
              false,
              false,
              2,
              0,
              List.of(),
              Optional.of(update),
              TargetEvidence.NONE);
      node.received("10.2.0.9", message, single.now);
      single.runMillis(100);
    }
    assertEquals(2, node.rules().orElseThrow().version());
  }
}
