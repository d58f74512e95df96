package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.LimitShare;
import org.chivecross.model.fleet.TargetIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests how entries share the request limit of one target. All entries always have a request for it
 * and send it as soon as their share allows.
 */
class RequestLimitTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final TargetIncarnation TARGET = new TargetIncarnation("t0", 1);

  private final ShareUse use =
      new ShareUse(WINDOW_NANOS, (node, now) -> node.evidence().limitShare(TARGET, now));

  private static double allowed(double limit) {
    return 1.5 * limit * 4 + 5;
  }

  private void send(GossipSimulation simulation, long millis) {
    use.send(simulation, millis);
  }

  private static GossipSimulation fleet(int entries) {
    int dataCentres = Math.min(4, entries);
    GossipSimulation simulation =
        new GossipSimulation(dataCentres, entries / dataCentres, 1, false);
    simulation.runMillis(5_000);
    simulation.entries.values().forEach(entry -> entry.node.setReady(true, simulation.now));
    simulation.runMillis(3_000);
    return simulation;
  }

  private static void nameLimit(GossipSimulation simulation, OptionalDouble limit) {
    FleetNode first = simulation.entries.values().iterator().next().node;
    first.evidence().limitStated(TARGET, limit, simulation.now);
  }

  @ParameterizedTest
  @CsvSource({
    "2,0.2", "2,2", "2,20", "2,500", "20,0", "20,0.2", "20,2.2", "20,20", "20,500", "200,2",
    "200,500"
  })
  void allEntriesTogetherKeepTheLimitAndUseHalfOfIt(int entries, double limit) {
    GossipSimulation simulation = fleet(entries);
    nameLimit(simulation, OptionalDouble.of(limit));
    simulation.runMillis(1_000);
    long seconds = limit < 1 ? 40 : 8;
    send(simulation, 1_000 * seconds);
    assertTrue(use.most <= allowed(limit), use.most + " in a window");
    int begunTokens = 2;
    assertTrue(use.sent >= 0.5 * limit * seconds - begunTokens, use.sent + " in " + seconds + " s");
  }

  @Test
  void entryThatLostAllOthersSendsNothing() {
    GossipSimulation simulation = fleet(2);
    simulation.stop("10.2.0.1");
    nameLimit(simulation, OptionalDouble.of(20));
    simulation.runMillis(40_000);
    send(simulation, 12_000);
    assertEquals(0, use.sent, "the others may still send, behind a partition");
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.2, 2, 20, 500})
  void singleEntryWithoutOthersUsesTheLimit(double limit) {
    LimitDivision division = new LimitDivision("10.1.0.1");
    division.recordEntries(List.of(), true, false, 0);
    LimitShare share = division.shareOf("t0", limit, 0, 5_000 * MILLI);
    assertTrue(share.burst() + 4 * share.requestsPerSecond() <= allowed(limit), share.toString());
    assertTrue(share.requestsPerSecond() >= 0.5 * limit, share.toString());
  }

  /** Both sides of a partition reach the target and take all entries of the other for stopped. */
  @ParameterizedTest
  @ValueSource(doubles = {0.2, 2.2, 20, 500})
  void bothSidesOfAPartitionKeepTheLimitTogether(double limit) {
    GossipSimulation simulation = fleet(20);
    nameLimit(simulation, OptionalDouble.of(limit));
    send(simulation, 3_000);
    int number = 0;
    for (GossipSimulation.Entry entry : simulation.entries.values()) {
      entry.partition = number++ % 2;
    }
    send(simulation, 36_000);
    simulation.entries.values().forEach(entry -> entry.partition = 0);
    send(simulation, 10_000);
    assertTrue(use.most <= allowed(limit), use.most + " in a window");
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.2, 2.2, 20, 500})
  void restartOfManyEntriesKeepsTheLimit(double limit) {
    GossipSimulation simulation = fleet(20);
    nameLimit(simulation, OptionalDouble.of(limit));
    send(simulation, 3_000);
    List<String> ips = List.copyOf(simulation.entries.keySet());
    for (int i = 0; i < 12; i++) {
      String ip = ips.get(i);
      simulation.stop(ip);
      send(simulation, 100);
      simulation.restart(ip, "dc" + ip.split("\\.", -1)[1]);
    }
    send(simulation, 1_000);
    simulation.entries.values().forEach(entry -> entry.node.setReady(true, simulation.now));
    send(simulation, 20_000);
    assertTrue(use.most <= allowed(limit), use.most + " in a window");
    assertEquals(
        20,
        simulation.count(node -> node.evidence().limitShare(TARGET, simulation.now).isPresent()),
        "restarted entries learn of the limit from the others");
  }

  @Test
  void joiningEntriesKeepTheLimit() {
    double limit = 2.2;
    GossipSimulation simulation = fleet(20);
    nameLimit(simulation, OptionalDouble.of(limit));
    for (int i = 6; i <= 15; i++) {
      simulation.restart("10.1.0." + i, "dc1").node.setReady(true, simulation.now);
      send(simulation, 400);
    }
    send(simulation, 10_000);
    assertTrue(use.most <= allowed(limit), use.most + " in a window");
  }

  /** Entries without a share get no response of the target themselves. */
  @Test
  void allEntriesLearnOfAnotherLimitAndOfItsEndDespiteLostMessages() {
    GossipSimulation simulation = fleet(20);
    simulation.lossRate = 0.3;
    nameLimit(simulation, OptionalDouble.of(2));
    simulation.runMillis(4_000);
    assertEquals(20, entriesWithLimit(simulation));
    nameLimit(simulation, OptionalDouble.empty());
    simulation.runMillis(4_000);
    assertEquals(0, entriesWithLimit(simulation));
  }

  private static long entriesWithLimit(GossipSimulation simulation) {
    return simulation.count(node -> node.evidence().limitShare(TARGET, simulation.now).isPresent());
  }

  /** A datagram that was delayed must not bring back a limit that has ended since. */
  @Test
  void olderResponseNeverReplacesANewerOne() {
    TargetLimitTable table = new TargetLimitTable();
    assertTrue(table.record(TARGET, OptionalDouble.of(2), 100 * MILLI));
    assertTrue(table.record(TARGET, OptionalDouble.empty(), 200 * MILLI));
    assertTrue(!table.record(TARGET, OptionalDouble.of(2), 150 * MILLI));
    assertEquals(Optional.empty(), table.find(TARGET, 300 * MILLI));
    TargetIncarnation earlier = new TargetIncarnation("t0", 0);
    assertTrue(!table.record(earlier, OptionalDouble.of(2), 300 * MILLI));
  }

  @Test
  void limitOfARunDoesNotHoldForALaterRun() {
    TargetLimitTable table = new TargetLimitTable();
    table.record(TARGET, OptionalDouble.of(2), 100 * MILLI);
    assertEquals(Optional.empty(), table.find(new TargetIncarnation("t0", 2), 200 * MILLI));
  }
}
