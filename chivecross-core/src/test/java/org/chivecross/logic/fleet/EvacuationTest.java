package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chivecross.model.fleet.StoreChange;
import org.chivecross.model.fleet.StoreVersion;
import org.chivecross.model.fleet.ViewUpdate;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.ruleset.CallerLimits;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.ServiceRule;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how all entries learn that the operator evacuates a data centre and takes it back. */
class EvacuationTest {

  /** Time within which each entry must keep an evacuation; far below the 5 s of the operator. */
  private static final long KNOWN_WITHIN_MILLIS = 2_000;

  private static GossipSimulation fleet(int entries) {
    int dataCentres = Math.min(4, entries);
    GossipSimulation simulation =
        new GossipSimulation(dataCentres, entries / dataCentres, 3, false);
    simulation.rules =
        new RuleSet(
            1,
            simulation.rules.routes(),
            List.of(new ServiceRule("s", "/health", 300, 3_000, 6.5)),
            new CallerLimits(1, 1, 1, 1));
    simulation.runMillis(5_000);
    return simulation;
  }

  private static long entriesThatEvacuate(GossipSimulation simulation) {
    return simulation.count(node -> node.evacuated().equals(Set.of("dc1")));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 20, 200})
  void allEntriesKeepAnEvacuationUntilItsEnd(int entries) {
    GossipSimulation simulation = fleet(entries);
    simulation.evacuate("dc1");
    simulation.runMillis(KNOWN_WITHIN_MILLIS);
    assertEquals(entries, entriesThatEvacuate(simulation));
    simulation.takeBack("dc1");
    simulation.runMillis(KNOWN_WITHIN_MILLIS);
    assertEquals(entries, simulation.count(node -> node.evacuated().isEmpty()));
  }

  /** The shares of 1,000 entries differ only by what they know, which is tested at 200. */
  @Test
  void entryThatRestartsDuringAnEvacuationKeepsIt() {
    GossipSimulation simulation = fleet(20);
    simulation.evacuate("dc1");
    simulation.runMillis(KNOWN_WITHIN_MILLIS);
    for (String ip : List.of("10.1.0.1", "10.1.0.5", "10.2.0.1")) {
      simulation.restart(ip, "dc" + ip.charAt(3));
    }
    boolean[] usedUnknowingly = new boolean[1];
    for (int i = 0; i < KNOWN_WITHIN_MILLIS; i++) {
      simulation.runMillis(1);
      usedUnknowingly[0] |=
          simulation.count(node -> node.hasView() && node.evacuated().isEmpty()) > 0;
    }
    assertEquals(20, entriesThatEvacuate(simulation));
    assertTrue(!usedUnknowingly[0], "an entry had targets and didn't know of the evacuation");
  }

  @Test
  void evacuationHoldsWhileTheStoreIsDownAndItsEndIsFoundAfterwards() {
    GossipSimulation simulation = fleet(20);
    simulation.evacuate("dc1");
    simulation.runMillis(KNOWN_WITHIN_MILLIS);
    simulation.storeDown = true;
    simulation.runMillis(10_000);
    assertEquals(20, entriesThatEvacuate(simulation));
    simulation.takeBack("dc1");
    simulation.storeDown = false;
    simulation.runMillis(3_000);
    assertEquals(0, entriesThatEvacuate(simulation));
  }

  @Test
  void evacuationReachesAllEntriesDespiteLostMessages() {
    GossipSimulation simulation = fleet(20);
    simulation.lossRate = 0.3;
    simulation.evacuate("dc1");
    simulation.runMillis(4_000);
    assertEquals(20, entriesThatEvacuate(simulation));
  }

  /** Nothing says that the targets stayed warm while they had no requests. */
  @Test
  void targetsOfADataCentreThatIsTakenBackCountAsCold() {
    GossipSimulation simulation = fleet(20);
    RegisteredTarget target = simulation.registrations.values().iterator().next();
    simulation.evacuate("dc1");
    simulation.runMillis(4_000);
    simulation.takeBack("dc1");
    simulation.runMillis(1_500);
    assertEquals(
        20, simulation.count(node -> node.evidence().share(target, simulation.now).isPresent()));
    simulation.runMillis(4_000);
    assertEquals(
        0, simulation.count(node -> node.evidence().share(target, simulation.now).isPresent()));
  }

  /** An entry of an earlier release sends updates that say nothing about evacuations. */
  @Test
  void updateThatDoesNotKnowOfEvacuationsEndsNone() {
    PlatformView view = new PlatformView(new WarmUpTable());
    StoreVersion first = new StoreVersion(1, 5);
    view.apply(
        new StoreChange(
            true, first, List.of(), List.of(), Optional.empty(), List.of("dc1"), List.of()),
        0,
        0);
    assertEquals(Set.of("dc1"), view.evacuated());
    ViewUpdate earlierRelease =
        new ViewUpdate(
            new StoreVersion(1, 6), 0, 0, 0, true, List.of(), List.of(), Optional.empty());
    view.apply(earlierRelease, 1);
    assertEquals(Set.of("dc1"), view.evacuated());
  }
}
