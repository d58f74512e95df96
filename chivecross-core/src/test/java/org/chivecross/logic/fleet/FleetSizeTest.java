package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests gossip with as many entries and targets as in the larger deployments. */
class FleetSizeTest {

  private static final int ENTRIES = 220;
  private static final int TARGETS = 280;

  /** A snapshot read takes several calls of the platform, and each call has a cost. */
  @Test
  void fewEntriesReadTheStoreAtTheFirstStart() {
    GossipSimulation simulation = new GossipSimulation(4, ENTRIES / 4, TARGETS, true);
    simulation.runMillis(4_000);
    assertEquals(ENTRIES, simulation.count(node -> node.targets(simulation.now).size() == TARGETS));
    assertTrue(simulation.snapshotReads <= 16, simulation.snapshotReads + " snapshot reads");
  }

  /** After a power failure callers wait for the first read, so the entries must not delay it. */
  @Test
  void allEntriesHaveTheTargetsSoonAfterARestart() {
    GossipSimulation simulation = new GossipSimulation(4, ENTRIES / 4, TARGETS, false);
    simulation.runMillis(400);
    assertEquals(ENTRIES, simulation.count(node -> node.targets(simulation.now).size() == TARGETS));
    assertTrue(
        simulation.snapshotReads <= ENTRIES / 2, simulation.snapshotReads + " snapshot reads");
  }

  @Test
  void messageRatePerEntryStaysBoundedInALargeFleet() {
    GossipSimulation simulation = new GossipSimulation(4, ENTRIES / 4, TARGETS, true);
    simulation.runMillis(8_000);
    assertEquals(
        ENTRIES, simulation.count(node -> node.others(simulation.now).size() == ENTRIES - 1));
    simulation.messages = 0;
    simulation.runMillis(5_000);
    int perEntryAndSecond = simulation.messages / ENTRIES / 5;
    assertTrue(perEntryAndSecond <= 12, perEntryAndSecond + " messages");
  }

  /** Callers that get the address of a stopped entry lose a second for each attempt. */
  @Test
  void directoryNamesNoEntryThatStoppedSixSecondsAgo() {
    GossipSimulation simulation = new GossipSimulation(4, ENTRIES / 4, TARGETS, true);
    simulation.runMillis(8_000);
    simulation.entries.values().forEach(entry -> entry.node.setReady(true, simulation.now));
    simulation.runMillis(4_000);
    for (int i = 1; i <= ENTRIES / 4; i++) {
      simulation.stop("10.2.0." + i);
    }
    simulation.runMillis(6_000);
    assertEquals(
        0,
        simulation.count(
            node ->
                node.others(simulation.now).stream()
                    .anyMatch(member -> member.dataCentre().equals("dc2"))));
    assertEquals(
        3 * ENTRIES / 4,
        simulation.count(node -> node.others(simulation.now).size() == 3 * ENTRIES / 4 - 1));
  }

  /** All relay entries of a data centre stop at the same time. */
  @Test
  void otherEntriesTakeOverWhenRelayEntriesStop() {
    GossipSimulation simulation = new GossipSimulation(4, ENTRIES / 4, TARGETS, true);
    simulation.runMillis(8_000);
    for (int i = 1; i <= 3; i++) {
      simulation.stop("10.2.0." + i);
    }
    simulation.runMillis(9_000);
    assertEquals(
        ENTRIES - 3, simulation.count(node -> node.others(simulation.now).size() == ENTRIES - 4));
  }

  /**
   * Entries start within 0.3 s, seeds have few of them in their membership, and some datagrams are
   * lost.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void newRulesReachAllEntriesAfterAFirstStart(long seed) {
    GossipSimulation simulation = new GossipSimulation(4, ENTRIES / 4, TARGETS, true, seed);
    simulation.lossRate = 0.02;
    simulation.startWithin(300);
    simulation.runMillis(12_000);
    assertEquals(
        ENTRIES, simulation.count(node -> node.others(simulation.now).size() == ENTRIES - 1));
    simulation.changeRules(2);
    simulation.runMillis(2_000);
    assertEquals(ENTRIES, simulation.count(node -> node.rules().orElseThrow().version() == 2));
  }
}
