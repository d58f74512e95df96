package org.chivecross.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.chivecross.logic.admission.Admission;
import org.junit.jupiter.api.Test;

/**
 * Load patterns of docs/design/hard-load.md in virtual time: the previous policy, the order under
 * overload, and a bound that knows all service times in advance.
 */
class OverloadOrderTest {

  private static final int ENTRIES = 40;
  private static final int TARGETS = 40;
  private static final double SECONDS = 16;

  private static DispatchSimulation simulation(boolean hasOrder, double slowPart, int slots) {
    DispatchSimulation simulation = new DispatchSimulation(11, slowPart, 139);
    if (!hasOrder) {
      simulation.admission = () -> Admission.NONE;
    }
    simulation.addTargets("a", TARGETS, slots);
    return simulation;
  }

  private static RouteLoad pointFetch() {
    return new RouteLoad("point-fetch", 2, 139, 433, 3_200);
  }

  private static RouteLoad upload() {
    return new RouteLoad("obs-upload", 1, 157, 1_600, 6_400);
  }

  /** Runs two routes, the second with half of the rate of the first, with twice that for 5 s. */
  private static void run(DispatchSimulation simulation, double perSecond, RouteLoad... loads) {
    simulation.routeLoads.addAll(List.of(loads));
    simulation.addEntries("a", ENTRIES, 42);
    for (RouteLoad load : loads) {
      simulation.load(load, 0, ENTRIES, perSecond / loads.length, 0, SECONDS);
      simulation.load(load, 0, ENTRIES, perSecond / loads.length, 6, 11);
    }
    simulation.run();
  }

  private static double value(DispatchSimulation simulation) {
    return simulation.routeLoads.stream().mapToDouble(RouteLoad::value).sum();
  }

  private static int served(DispatchSimulation simulation) {
    return simulation.routeLoads.stream().mapToInt(load -> load.inTime + load.late).sum();
  }

  /** Returns the value if all slots worked at nominal speed all the time, without idle time. */
  private static double bound(DispatchSimulation simulation, int slots) {
    double leastWork =
        simulation.routeLoads.stream().mapToLong(load -> load.workMillis(0)).min().orElse(1);
    double capacity = TARGETS * slots * SECONDS * 1_000 / leastWork;
    return Math.min(simulation.sent, capacity);
  }

  private static String compare(DispatchSimulation before, DispatchSimulation now, double bound) {
    return "value %.0f before, %.0f now, bound %.0f; served %d before, %d now; refused %d, %d"
        .formatted(
            value(before),
            value(now),
            bound,
            served(before),
            served(now),
            before.refused,
            now.refused);
  }

  private static void assertServesMore(DispatchSimulation before, DispatchSimulation now) {
    String figures = compare(before, now, bound(now, 2));
    assertTrue(value(now) <= bound(now, 2), figures);
    assertTrue(value(now) > value(before), figures);
    assertTrue(served(now) >= served(before), figures);
  }

  /** No route is starved: a quarter of the served fraction over all requests is the floor. */
  private static void assertNobodyStarves(DispatchSimulation simulation) {
    double all = served(simulation) / (double) simulation.sent;
    for (RouteLoad load : simulation.routeLoads) {
      assertTrue(load.servedFraction() >= all / 4, load.rule.name() + load.servedFraction());
    }
  }

  /**
   * A burst of twice the rate with a tenth of the targets slow: late requests must not hold the
   * slots of those that can still be served in time.
   */
  @Test
  void aBurstOfTwiceTheRateEarnsMoreThanBefore() {
    DispatchSimulation before = simulation(false, 0.1, 2);
    run(before, 140, pointFetch(), upload());
    DispatchSimulation now = simulation(true, 0.1, 2);
    run(now, 140, pointFetch(), upload());
    assertServesMore(before, now);
    assertNobodyStarves(now);
  }

  /** Probes take time of targets that lack it; an entry sends up to eight without an order. */
  @Test
  void aBurstOfTwiceTheRateNeedsAtMostThreeProbesForEachRequest() {
    DispatchSimulation now = simulation(true, 0.1, 2);
    run(now, 140, pointFetch(), upload());
    double perRequest = now.probes / (double) now.sent;
    assertTrue(perRequest <= 3, perRequest + " probes for each request");
  }

  /** Callers that repeat a refused request three times, at once: repeats must not displace work. */
  @Test
  void callersThatRepeatThreeTimesEarnMoreThanBefore() {
    DispatchSimulation before = simulation(false, 0.3, 2);
    before.repeats = 3;
    run(before, 140, pointFetch(), upload());
    DispatchSimulation now = simulation(true, 0.3, 2);
    now.repeats = 3;
    run(now, 140, pointFetch(), upload());
    assertServesMore(before, now);
    assertNobodyStarves(now);
  }

  /** One route whose work grows sevenfold must not take all slots from the other one. */
  @Test
  void aRouteWhoseWorkGrowsSevenfoldStarvesNobody() {
    RouteLoad[] before = {pointFetch(), upload()};
    RouteLoad[] now = {pointFetch(), upload()};
    for (RouteLoad load : new RouteLoad[] {before[1], now[1]}) {
      load.growthNanos = 6_000 * DispatchSimulation.MILLI;
    }
    DispatchSimulation previous = simulation(false, 0.1, 2);
    run(previous, 60, before);
    DispatchSimulation ordered = simulation(true, 0.1, 2);
    run(ordered, 60, now);
    String figures = compare(previous, ordered, bound(ordered, 2));
    assertTrue(value(ordered) > value(previous), figures);
    assertNobodyStarves(ordered);
  }

  /**
   * A more urgent route with a short deadline beside one with a long deadline, which could wait for
   * room at the expense of the other.
   */
  @Test
  void aMoreUrgentRouteIsServedAsOftenAsALessUrgentOne() {
    RouteLoad urgent = new RouteLoad("pump-approve", 0, 271, 550, 4_400);
    RouteLoad other = new RouteLoad("statement-pull", 2, 271, 3_100, 6_300);
    DispatchSimulation now = simulation(true, 0.25, 4);
    now.targets.forEach(target -> target.queueBound = 8);
    run(now, 190, urgent, other);
    String figures = "served %.3f and %.3f, value %.0f of %d and %.0f of %d";
    figures =
        figures.formatted(
            urgent.servedFraction(),
            other.servedFraction(),
            urgent.value(),
            urgent.sent,
            other.value(),
            other.sent);
    assertTrue(urgent.servedFraction() >= other.servedFraction() - 0.05, figures);
    assertTrue(urgent.value() / urgent.sent >= other.value() / other.sent - 0.15, figures);
  }

  /**
   * Two groups of entries that don't know each other send to the same targets: without messages,
   * each must see the pressure that the other one causes.
   */
  @Test
  void twoGroupsOfEntriesNeitherStarveARouteNorOverrunTargets() {
    DispatchSimulation before = twoGroups(false);
    DispatchSimulation now = twoGroups(true);
    String figures = compare(before, now, bound(now, 2));
    assertNobodyStarves(now);
    assertTrue(value(now) > value(before), figures);
    // A request that a full target refused was placed on it by a wrong view of its load.
    assertTrue(now.shed <= 0.05 * now.sent, now.shed + " of " + now.sent + " found a full target");
  }

  private static DispatchSimulation twoGroups(boolean hasOrder) {
    DispatchSimulation simulation = simulation(hasOrder, 0.3, 2);
    RouteLoad first = pointFetch();
    RouteLoad second = upload();
    simulation.routeLoads.addAll(List.of(first, second));
    simulation.addEntries("a", ENTRIES, 42);
    simulation.load(first, 0, ENTRIES / 2, 130, 0, SECONDS);
    simulation.load(second, ENTRIES / 2, ENTRIES, 60, 0, SECONDS);
    simulation.run();
    return simulation;
  }
}
