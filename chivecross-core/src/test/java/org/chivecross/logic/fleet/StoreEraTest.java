package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.registry.RegisteredTarget;
import org.junit.jupiter.api.Test;

/** Tests twelve entries whose store is restored from a copy that is some seconds old. */
class StoreEraTest {

  private static final int ENTRIES = 12;
  private static final long BOUND_MILLIS = 2_000;

  private final GossipSimulation simulation = new GossipSimulation(3, 4, 6, false);

  private static boolean isUsable(FleetNode node, String id) {
    return node.targets(0).stream().anyMatch(t -> t.id().equals(id) && !t.leaving());
  }

  private long usableAt(String id) {
    return simulation.count(node -> isUsable(node, id));
  }

  /** Lets all registered targets register again, as targets that are alive do. */
  private void heartbeat() {
    simulation.registrations.values().stream().toList().forEach(simulation::put);
  }

  /** Restores a copy after a pause of the store. */
  private void restore(GossipSimulation.StoreCopy copy) {
    simulation.storeDown = true;
    simulation.runMillis(500);
    simulation.restore(copy);
    simulation.storeDown = false;
  }

  /** Revisions go back, so a view that only follows higher revisions would see nothing. */
  @Test
  void changesAfterTheRestorationReachAllEntries() {
    simulation.runMillis(5_000);
    GossipSimulation.StoreCopy copy = simulation.copy();
    for (int i = 0; i < 40; i++) {
      heartbeat();
    }
    simulation.runMillis(2_000);
    restore(copy);
    simulation.runMillis(BOUND_MILLIS);
    simulation.put("t9", 1, false);
    simulation.put("t3", 1, true);
    simulation.changeRules(2);
    simulation.runMillis(BOUND_MILLIS);
    assertEquals(ENTRIES, usableAt("t9"));
    assertEquals(0, usableAt("t3"));
    assertEquals(ENTRIES, simulation.count(node -> node.rules().orElseThrow().version() == 2));
  }

  /**
   * A watch from a revision that was assigned again must not skip what differs between the eras.
   */
  @Test
  void changesOfTheRestorationAreSeenAlthoughRevisionsWereAssignedAgain() {
    simulation.runMillis(5_000);
    simulation.entries.values().forEach(entry -> entry.refusedByStore = true);
    GossipSimulation.StoreCopy copy = simulation.copy();
    simulation.runMillis(500);
    simulation.restore(copy);
    simulation.remove("t2");
    for (int i = 0; i < 40; i++) {
      heartbeat();
    }
    simulation.entries.values().forEach(entry -> entry.refusedByStore = false);
    simulation.runMillis(5_000);
    assertEquals(0, usableAt("t2"));
    assertEquals(ENTRIES, usableAt("t3"));
  }

  @Test
  void rulesNeverGoBack() {
    simulation.runMillis(5_000);
    GossipSimulation.StoreCopy copy = simulation.copy();
    simulation.changeRules(5);
    simulation.runMillis(BOUND_MILLIS);
    restore(copy);
    simulation.runMillis(3_000);
    assertEquals(ENTRIES, simulation.count(node -> node.rules().orElseThrow().version() == 5));
    simulation.changeRules(6);
    simulation.runMillis(BOUND_MILLIS);
    assertEquals(ENTRIES, simulation.count(node -> node.rules().orElseThrow().version() == 6));
  }

  @Test
  void removedTargetIsNotUsedAgain() {
    simulation.runMillis(5_000);
    GossipSimulation.StoreCopy copy = simulation.copy();
    simulation.remove("t2");
    simulation.runMillis(1_000);
    assertEquals(0, usableAt("t2"));
    restore(copy);
    for (int i = 0; i < 40; i++) {
      simulation.runMillis(100);
      assertEquals(0, usableAt("t2"), "after " + (i + 1) * 100 + " ms");
    }
  }

  @Test
  void leavingTargetIsNotUsedAgain() {
    simulation.runMillis(5_000);
    GossipSimulation.StoreCopy copy = simulation.copy();
    simulation.put("t2", 1, true);
    simulation.runMillis(1_000);
    restore(copy);
    for (int i = 0; i < 40; i++) {
      simulation.runMillis(100);
      assertEquals(0, usableAt("t2"), "after " + (i + 1) * 100 + " ms");
    }
  }

  /** A registration that expired although its target is alive is written again in the new era. */
  @Test
  void removedTargetThatRegistersAgainIsUsed() {
    simulation.runMillis(5_000);
    GossipSimulation.StoreCopy copy = simulation.copy();
    RegisteredTarget expired = simulation.remove("t2");
    simulation.runMillis(1_000);
    restore(copy);
    simulation.runMillis(1_000);
    simulation.put(expired);
    simulation.runMillis(1_500);
    simulation.put(expired);
    simulation.runMillis(1_500);
    assertEquals(ENTRIES, usableAt("t2"));
  }

  @Test
  void laterRunOfARemovedTargetIsUsedAtOnce() {
    simulation.runMillis(5_000);
    GossipSimulation.StoreCopy copy = simulation.copy();
    simulation.remove("t2");
    simulation.runMillis(1_000);
    restore(copy);
    simulation.put("t2", 2, false);
    simulation.runMillis(BOUND_MILLIS);
    assertEquals(ENTRIES, usableAt("t2"));
  }

  /** The copy lacks the latest registrations; these targets write them again within 2 s. */
  @Test
  void targetRegisteredAfterTheCopyStaysInUse() {
    simulation.runMillis(5_000);
    GossipSimulation.StoreCopy copy = simulation.copy();
    simulation.put("t9", 1, false);
    simulation.put("t8", 1, false);
    simulation.runMillis(1_000);
    assertEquals(ENTRIES, usableAt("t9"));
    restore(copy);
    for (int i = 0; i < 18; i++) {
      simulation.runMillis(100);
      assertEquals(ENTRIES, usableAt("t9"), "after " + (i + 1) * 100 + " ms");
    }
    simulation.put("t9", 1, false);
    simulation.runMillis(4_000);
    assertEquals(ENTRIES, usableAt("t9"));
    assertEquals(0, usableAt("t8"), "a target that did not register again");
  }

  /** An entry that restarts finds the removed target in the store and must ask the others. */
  @Test
  void restartedEntryDoesNotUseTargetsThatLeftInTheEraBefore() {
    simulation.runMillis(5_000);
    GossipSimulation.StoreCopy copy = simulation.copy();
    simulation.remove("t2");
    simulation.put("t3", 1, true);
    simulation.runMillis(1_000);
    restore(copy);
    simulation.runMillis(1_000);
    for (String ip : new String[] {"10.1.0.1", "10.2.0.3"}) {
      simulation.restart(ip, "dc" + ip.charAt(3));
    }
    for (int i = 0; i < 20; i++) {
      simulation.runMillis(100);
      assertEquals(0, usableAt("t2"), "after " + (i + 1) * 100 + " ms");
      assertEquals(0, usableAt("t3"), "after " + (i + 1) * 100 + " ms");
    }
    assertEquals(ENTRIES, usableAt("t1"));
  }

  /** One reader still gets answers of the era before. */
  @Test
  void answersOfTheEraBeforeAreIgnored() {
    simulation.runMillis(5_000);
    GossipSimulation.StoreCopy copy = simulation.copy();
    simulation.put("t9", 1, false);
    simulation.runMillis(1_000);
    GossipSimulation.StoreCopy lastOfEra = simulation.copy();
    restore(copy);
    GossipSimulation.Entry first = simulation.entry("10.1.0.1");
    first.servedByCopy = Optional.of(lastOfEra);
    simulation.put("t3", 1, true);
    simulation.remove("t4");
    simulation.runMillis(5_000);
    simulation.reads = 0;
    simulation.runMillis(5_000);
    assertEquals(0, usableAt("t3"));
    assertEquals(0, usableAt("t4"));
    assertEquals(0, usableAt("t9"));
    assertTrue(simulation.reads <= 40, simulation.reads + " reads in 5 s");
  }

  @Test
  void restorationCausesFewSnapshotReads() {
    simulation.runMillis(5_000);
    GossipSimulation.StoreCopy copy = simulation.copy();
    for (int i = 0; i < 10; i++) {
      heartbeat();
    }
    simulation.runMillis(1_000);
    simulation.snapshotReads = 0;
    restore(copy);
    simulation.runMillis(3_000);
    assertTrue(simulation.snapshotReads <= 4, simulation.snapshotReads + " snapshot reads");
  }

  /** A target announced its shutdown in a response, but not in the store. */
  @Test
  void announcedLeavingReachesAllEntriesAndOutlivesTheRestartOfTheFirst() {
    simulation.runMillis(5_000);
    GossipSimulation.Entry first = simulation.entry("10.1.0.1");
    first.node.evidence().leavingAnnounced(new TargetIncarnation("t2", 1), simulation.now);
    assertTrue(!isUsable(first.node, "t2"));
    simulation.runMillis(100);
    assertEquals(0, usableAt("t2"));
    simulation.restart("10.1.0.1", "dc1");
    for (int i = 0; i < 30; i++) {
      simulation.runMillis(100);
      assertEquals(0, usableAt("t2"), "after " + (i + 1) * 100 + " ms");
    }
  }

  @Test
  void announcedLeavingEndsWithALaterRunOnly() {
    simulation.runMillis(5_000);
    simulation
        .entry("10.2.0.2")
        .node
        .evidence()
        .leavingAnnounced(new TargetIncarnation("t2", 1), simulation.now);
    simulation.put("t2", 1, false);
    simulation.runMillis(BOUND_MILLIS);
    assertEquals(0, usableAt("t2"));
    simulation.put("t2", 2, false);
    simulation.runMillis(BOUND_MILLIS);
    assertEquals(ENTRIES, usableAt("t2"));
  }
}
