package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.fleet.LimitShare;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.registry.TargetAddress;
import org.chivecross.model.ruleset.CallerLimits;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.ServiceRule;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests how entries share the rate that a target takes while it warms up. All entries always have a
 * request for it.
 */
class WarmUpRateTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long WARM_UP_MILLIS = 30_000;
  private static final TargetIncarnation TARGET = new TargetIncarnation("cold", 1);

  private final ShareUse use =
      new ShareUse(SECOND, (node, now) -> node.evidence().share(target(0), now));

  private static RegisteredTarget target(long warmUpMillis) {
    return new RegisteredTarget(
        TARGET.id(), 1, "s", TargetAddress.of("10.9.0.1:80"), "dc1", 6, false, warmUpMillis, 0);
  }

  /** Requests that a target bears in one second while it warms up. */
  private static double allowed(double perSecond) {
    return 1.5 * perSecond + 8;
  }

  private static GossipSimulation fleet(int entries, double perSecond) {
    int dataCentres = Math.min(4, entries);
    GossipSimulation simulation =
        new GossipSimulation(dataCentres, entries / dataCentres, 1, false);
    ServiceRule service = new ServiceRule("s", "/health", 300, 3_000, perSecond);
    simulation.rules =
        new RuleSet(1, simulation.rules.routes(), List.of(service), new CallerLimits(1, 1, 1, 1));
    simulation.runMillis(5_000);
    simulation.entries.values().forEach(entry -> entry.node.setReady(true, simulation.now));
    simulation.runMillis(3_000);
    return simulation;
  }

  /** Guards against entries that each send only a little to a cold target, but many together. */
  @ParameterizedTest
  @CsvSource({
    "2,0.2", "2,2", "2,20", "2,500", "20,0.2", "20,3.4", "20,20", "20,500", "200,0.2", "200,6.5",
    "200,500"
  })
  void allEntriesTogetherKeepTheRateFromTheRegistrationOn(int entries, double perSecond) {
    GossipSimulation simulation = fleet(entries, perSecond);
    simulation.put(target(WARM_UP_MILLIS));
    use.send(simulation, 2_000);
    assertEquals(
        entries,
        simulation.count(node -> node.evidence().share(target(0), simulation.now).isPresent()));
    int before = use.sent;
    long seconds = perSecond < 1 ? 25 : 6;
    use.send(simulation, 1_000 * seconds);
    assertTrue(use.most <= allowed(perSecond), use.most + " in a second");
    int begunTokens = 2;
    assertTrue(
        use.sent - before >= 0.4 * perSecond * seconds - begunTokens, use.sent - before + " sent");
  }

  /** The shares of 1, 200 and 1,000 entries, also if these form two groups. */
  @ParameterizedTest
  @CsvSource({"1,6.5", "1,500", "200,0.2", "200,500", "1000,0.2", "1000,6.5", "1000,500"})
  void sharesOfAllEntriesAddUpToHalfOfWhatATargetBears(int entries, double perSecond) {
    double atOnce = 0;
    double inSecond = 0;
    for (int own = 0; own < entries; own++) {
      LimitDivision division = new LimitDivision("10.0.0." + own);
      division.recordEntries(others(entries, own), true, false, 0);
      LimitShare share = division.warmUpShareOf("cold", perSecond, 5 * SECOND);
      atOnce += share.burst() < 1 ? 0 : share.burst();
      inSecond += share.requestsPerSecond();
    }
    assertTrue(atOnce + inSecond <= allowed(perSecond) / 2, atOnce + " and " + inSecond);
    assertTrue(inSecond >= 0.4 * perSecond, inSecond + " a second");
  }

  private static List<FleetMember> others(int entries, int own) {
    List<FleetMember> others = new ArrayList<>();
    for (int i = 0; i < entries; i++) {
      if (i != own) {
        others.add(new FleetMember("10.0.0." + i, 1, "dc", true, false, 0, 0));
      }
    }
    return others;
  }

  /** Both sides of a partition reach the target and take all entries of the other for stopped. */
  @ParameterizedTest
  @ValueSource(doubles = {0.2, 6.5, 20, 500})
  void bothSidesOfAPartitionKeepTheRateTogether(double perSecond) {
    GossipSimulation simulation = fleet(20, perSecond);
    simulation.put(target(120_000));
    use.send(simulation, 3_000);
    int number = 0;
    for (GossipSimulation.Entry entry : simulation.entries.values()) {
      entry.partition = number++ % 2;
    }
    use.send(simulation, 36_000);
    simulation.entries.values().forEach(entry -> entry.partition = 0);
    use.send(simulation, 5_000);
    assertTrue(use.most <= allowed(perSecond), use.most + " in a second");
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.2, 6.5, 20, 500})
  void restartOfManyEntriesKeepsTheRate(double perSecond) {
    GossipSimulation simulation = fleet(20, perSecond);
    simulation.put(target(WARM_UP_MILLIS));
    use.send(simulation, 2_000);
    for (String ip : List.copyOf(simulation.entries.keySet()).subList(0, 12)) {
      simulation.stop(ip);
      use.send(simulation, 100);
      simulation.restart(ip, "dc" + ip.split("\\.", -1)[1]);
    }
    use.send(simulation, 1_000);
    simulation.entries.values().forEach(entry -> entry.node.setReady(true, simulation.now));
    use.send(simulation, 8_000);
    assertTrue(use.most <= allowed(perSecond), use.most + " in a second");
  }

  /** A target may become cold again without another registration that says so. */
  @Test
  void allEntriesLearnFromOneResponseDespiteLostMessages() {
    GossipSimulation simulation = fleet(20, 6.5);
    simulation.lossRate = 0.3;
    simulation.entry("10.1.0.2").node.evidence().warmingUp(TARGET, 8_000, simulation.now);
    simulation.runMillis(4_000);
    assertEquals(20, coldAt(simulation));
    simulation.runMillis(6_000);
    assertEquals(0, coldAt(simulation), "entries must not prolong the warm-up of each other");
  }

  private static long coldAt(GossipSimulation simulation) {
    return simulation.count(node -> node.evidence().share(target(0), simulation.now).isPresent());
  }

  @Test
  void registrationOfAKnownTargetThatBecameColdReachesAllEntries() {
    GossipSimulation simulation = fleet(20, 6.5);
    simulation.put(target(0));
    simulation.runMillis(1_000);
    assertEquals(0, coldAt(simulation));
    simulation.put(target(4_000));
    simulation.runMillis(1_000);
    assertEquals(20, coldAt(simulation));
  }

  /** A service without a rate has targets that are slow at first, but take any number. */
  @Test
  void targetOfAServiceWithoutARateIsNotLimited() {
    GossipSimulation simulation = fleet(4, 0);
    simulation.put(target(WARM_UP_MILLIS));
    simulation.runMillis(1_000);
    assertEquals(0, coldAt(simulation));
    FleetNode node = simulation.entry("10.1.0.1").node;
    assertTrue(
        node.targets(simulation.now).stream().anyMatch(known -> known.warmupMillis() > 20_000));
  }

  @Test
  void smallerOneOfLimitAndWarmUpRateApplies() {
    GossipSimulation simulation = fleet(2, 6.5);
    FleetNode node = simulation.entry("10.1.0.1").node;
    node.evidence().limitStated(TARGET, java.util.OptionalDouble.of(500), simulation.now);
    double limited = perSecond(node, simulation.now);
    node.evidence().warmingUp(TARGET, 3_000, simulation.now);
    assertTrue(perSecond(node, simulation.now) < limited / 10);
    simulation.runMillis(3_100);
    assertEquals(limited, perSecond(node, simulation.now));
  }

  private static double perSecond(FleetNode node, long now) {
    Optional<LimitShare> share = node.evidence().share(target(0), now);
    return share.map(LimitShare::requestsPerSecond).orElseThrow();
  }

  @Test
  void warmUpOfARunDoesNotHoldForALaterRunAndNeverEndsEarlier() {
    WarmUpTable table = new WarmUpTable();
    assertTrue(table.record(TARGET, 3_000, 0));
    assertTrue(!table.record(TARGET, 1_000, 0), "an older message is no other warm-up");
    assertEquals(3_000, table.remainingMillis(TARGET, 0));
    TargetIncarnation later = new TargetIncarnation("cold", 2);
    assertEquals(0, table.remainingMillis(later, 0));
    assertTrue(table.record(later, 500, 0));
    assertTrue(!table.record(TARGET, 9_000, 100 * MILLI), "an earlier run has ended");
    assertTrue(!table.record(later, 0, 0) && !table.record(later, -5, 0));
    table.expire(501 * MILLI);
    assertEquals(0, table.size());
  }
}
