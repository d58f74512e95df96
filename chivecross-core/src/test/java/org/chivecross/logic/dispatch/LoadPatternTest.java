package org.chivecross.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Load patterns that were seen at users, simulated in virtual time. */
class LoadPatternTest {

  private static final long SECONDS = 20;

  /**
   * A quarter of the targets is five times slower in each phase of 150 ms; a target chosen without
   * regard to its speed would often answer late.
   */
  @Test
  void requestsAreAnsweredInTimeWhileAQuarterOfTargetsIsSlow() {
    DispatchSimulation simulation = new DispatchSimulation(1, 0.25, 120);
    simulation.addTargets("a", 16, 4);
    simulation.addEntries("a", 6, 60);
    for (int entry = 0; entry < 6; entry++) {
      simulation.load(entry, 12, SECONDS);
    }
    simulation.run();
    assertEquals(simulation.sent, simulation.inTime + simulation.late + simulation.refused);
    assertTrue(
        simulation.inTime >= 0.97 * simulation.sent, simulation.inTime + " of " + simulation.sent);
  }

  /**
   * One data centre has far more callers than entries and targets; requests must use the other one.
   */
  @Test
  void requestsAreAnsweredInTimeInADataCentreWithFewTargets() {
    DispatchSimulation simulation = new DispatchSimulation(2, 0.35, 120);
    simulation.addTargets("a", 13, 6);
    simulation.addTargets("b", 4, 6);
    simulation.addEntries("a", 16, 60);
    simulation.addEntries("b", 4, 60);
    for (int entry = 0; entry < 16; entry++) {
      simulation.load(entry, 5, SECONDS);
    }
    for (int entry = 16; entry < 20; entry++) {
      simulation.load(entry, 18, SECONDS);
    }
    simulation.run();
    assertTrue(
        simulation.refused <= 0.005 * simulation.sent,
        simulation.refused + " of " + simulation.sent);
    assertTrue(
        simulation.inTime >= 0.95 * simulation.sent, simulation.inTime + " of " + simulation.sent);
  }

  /** Guards the probe rate while no target has free slots and every request probes again. */
  @Test
  void probesStayWithinTheirRateWhenAllTargetsAreFull() {
    DispatchSimulation simulation = new DispatchSimulation(3, 0, 2_000);
    simulation.addTargets("a", 5, 1);
    simulation.addEntries("a", 4, 10);
    for (int entry = 0; entry < 4; entry++) {
      simulation.load(entry, 30, SECONDS);
    }
    simulation.run();
    double perTargetAndSecond = simulation.probes / (double) SECONDS / 5;
    assertTrue(perTargetAndSecond <= 10, perTargetAndSecond + " probes");
  }

  /** Targets that do not answer probes get no requests while others do. */
  @Test
  void requestsAreAnsweredInTimeWhileTargetsIgnoreProbes() {
    DispatchSimulation simulation = new DispatchSimulation(4, 0, 100);
    simulation.addTargets("a", 8, 4);
    simulation.targets.get(0).ignoresProbes = true;
    simulation.targets.get(1).ignoresProbes = true;
    simulation.addEntries("a", 4, 60);
    for (int entry = 0; entry < 4; entry++) {
      simulation.load(entry, 10, SECONDS);
    }
    simulation.run();
    assertTrue(
        simulation.inTime >= 0.99 * simulation.sent, simulation.inTime + " of " + simulation.sent);
  }

  /**
   * All targets refuse half of their requests although they have free slots; requests must be
   * placed again, and the advised retry delay must stay short.
   */
  @Test
  void requestsAreNotRefusedWhileTargetsWithFreeSlotsShed() {
    DispatchSimulation simulation = new DispatchSimulation(5, 0.35, 120);
    simulation.addTargets("a", 17, 6);
    simulation.targets.forEach(target -> target.shedFraction = 0.55);
    simulation.addEntries("a", 20, 60);
    for (int entry = 0; entry < 20; entry++) {
      simulation.load(entry, 12, SECONDS);
    }
    simulation.run();
    assertEquals(0, simulation.refused, "requests refused although targets have free slots");
    assertTrue(simulation.maxRetryAfterMillis <= 50, simulation.maxRetryAfterMillis + " ms");
  }

  /**
   * With a low probe rate most reports are old; a slow phase is over by the time its report is
   * used.
   */
  @Test
  void staleReportsOfSlownessDoNotCauseRefusals() {
    DispatchSimulation simulation = new DispatchSimulation(6, 0.35, 120);
    simulation.addTargets("a", 17, 6);
    simulation.addEntries("a", 20, 8);
    for (int entry = 0; entry < 20; entry++) {
      simulation.load(entry, 9, SECONDS);
    }
    simulation.run();
    assertTrue(
        simulation.refused <= 0.001 * simulation.sent,
        simulation.refused + " of " + simulation.sent);
  }

  /** As many entries as in the larger deployments share the connections that a target accepts. */
  @Test
  void connectionsOfAllEntriesStayWithinTheTargetsLimit() {
    DispatchSimulation simulation = new DispatchSimulation(8, 0, 100);
    simulation.addTargets("a", 1, 4);
    simulation.addEntries("a", 60, 60);
    simulation.shareBudgetsByLoad(30, 10);
    int all = simulation.entries.stream().mapToInt(entry -> entry.connectionLimit(0)).sum();
    assertTrue(all <= 300, all + " connections");
    assertTrue(simulation.entries.get(0).connectionLimit(0) >= 10);
  }

  /**
   * Hundreds of entries with three requests a second each: an entry that spreads them over all
   * targets finds no kept connection. Before connected targets were preferred, 0.91 connections
   * were opened for each request here.
   */
  @Test
  void mostRequestsOfManyEntriesFindAKeptConnection() {
    DispatchSimulation simulation = new DispatchSimulation(9, 0.25, 400);
    simulation.addTargets("a", 35, 4);
    simulation.addEntries("a", 50, 60);
    for (int entry = 0; entry < 50; entry++) {
      simulation.load(entry, 1.5, 4 * SECONDS);
    }
    simulation.run();
    double perRequest = simulation.connects / (double) simulation.sent;
    assertTrue(perRequest <= 0.5, perRequest + " connections for each request");
    double probesPerRequest = simulation.probes / (double) simulation.sent;
    assertTrue(probesPerRequest <= 1.6, probesPerRequest + " probes for each request");
    int least = simulation.targets.stream().mapToInt(target -> target.requests).min().orElse(0);
    double mean = simulation.sent / 35.0;
    assertTrue(least >= mean / 3, least + " requests for the least used target, mean " + mean);
  }

  private static DispatchSimulation downloads(long bytes) {
    DispatchSimulation simulation = new DispatchSimulation(10, 0.25, 72);
    simulation.responseBytes = bytes;
    for (String dataCentre : new String[] {"a", "b", "c"}) {
      simulation.addTargets(dataCentre, 2, 4);
      simulation.addEntries(dataCentre, 7, 60);
    }
    for (int entry = 0; entry < 21; entry++) {
      simulation.load(entry, 4, 3 * SECONDS);
    }
    simulation.run();
    return simulation;
  }

  /**
   * Downloads of 90 KB with two targets in each data centre: bytes between data centres are dear,
   * and a local target is mostly good enough. Sizes of responses did not count before: 0.056 of the
   * downloads crossed.
   */
  @Test
  void downloadsStayInTheirDataCentreWhileItServesThemInTime() {
    DispatchSimulation simulation = downloads(90_000);
    double crossed = simulation.remoteBytes / 90_000.0 / simulation.sent;
    assertTrue(crossed <= 0.03, crossed + " of the downloads crossed");
    assertTrue(
        simulation.inTime >= 0.97 * simulation.sent, simulation.inTime + " of " + simulation.sent);
    assertEquals(0, simulation.refused);
  }

  /** A few entries receive most requests; the probe budget must follow the requests. */
  @Test
  void probeBudgetFollowsTheEntriesWithMostRequests() {
    DispatchSimulation simulation = new DispatchSimulation(7, 0.35, 120);
    simulation.addTargets("a", 17, 6);
    simulation.addEntries("a", 20, 14);
    for (int entry = 0; entry < 4; entry++) {
      simulation.load(entry, 30, SECONDS);
    }
    simulation.shareBudgetsByLoad(30, 4);
    simulation.run();
    assertTrue(
        simulation.inTime >= 0.97 * simulation.sent, simulation.inTime + " of " + simulation.sent);
    double perTargetAndSecond = simulation.probes / (double) SECONDS / 17;
    assertTrue(perTargetAndSecond <= 14, perTargetAndSecond + " probes");
  }
}
