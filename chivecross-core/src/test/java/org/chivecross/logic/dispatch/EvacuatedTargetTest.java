package org.chivecross.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.registry.TargetAddress;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.request.ResponseHead;
import org.chivecross.model.ruleset.CallerLimits;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.ServiceRule;
import org.chivecross.model.ruleset.WeightedService;
import org.junit.jupiter.api.Test;

/** Tests that requests keep off evacuated data centres and stay in their home regions. */
class EvacuatedTargetTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final List<Integer> probes = new ArrayList<>();
  private final Dispatcher dispatcher =
      new Dispatcher(
          new DispatchPreferences(
              "a", 20, 10, 1_000, 0.5, 100, 10_000, Map.of("a", "north", "b", "south")),
          probes::add,
          target -> {},
          new SplittableRandom(3));
  private long now = 1_000 * MILLI;

  private static RouteRule route(List<String> homes) {
    return new RouteRule(
        "r",
        "h",
        "/",
        List.of(new WeightedService("s", 1)),
        RequestClass.READ,
        1_200,
        400,
        3,
        1,
        homes);
  }

  private void apply(RouteRule route, String... dataCentres) {
    dispatcher.applyRules(
        new RuleSet(
            1,
            List.of(route),
            List.of(new ServiceRule("s", "/health", 300)),
            new CallerLimits(1, 1, 1, 1)));
    List<RegisteredTarget> registered = new ArrayList<>();
    for (String dataCentre : dataCentres) {
      String id = "t" + registered.size();
      registered.add(
          new RegisteredTarget(
              id, 1, "s", TargetAddress.of("10.0.0.1:80"), dataCentre, 4, false, 0, 0));
    }
    dispatcher.applyTargets(registered, now);
  }

  /** Places a request; all probes report an idle target. */
  private Placement place(PlacementTicket ticket) {
    Placement placement = dispatcher.place(ticket, now);
    while (placement instanceof Placement.Pending && !probes.isEmpty()) {
      int row = probes.remove(0);
      assertTrue(dispatcher.target(row).isPresent());
      ResponseHead head = new ResponseHead(200, false, false, Optional.of(new LoadReport(0, 0, 4)));
      dispatcher.probeEnded(row, true, Optional.of(head), now);
      placement = dispatcher.place(ticket, now);
    }
    return placement;
  }

  private PlacementTicket open(RouteRule route) {
    now += 10 * MILLI;
    return dispatcher.open(route, now + 1_000 * MILLI, 0, () -> {}, now);
  }

  private String dataCentreOf(Placement placement) {
    int row = assertInstanceOf(Placement.Chosen.class, placement).target();
    return dispatcher.target(row).orElseThrow().dataCentre();
  }

  @Test
  void requestsAndRetriesKeepOffAnEvacuatedDataCentreUntilItIsTakenBack() {
    RouteRule route = route(List.of());
    apply(route, "a", "a", "a", "b", "b");
    dispatcher.applyEvacuations(Set.of("a"));
    for (int i = 0; i < 200; i++) {
      PlacementTicket ticket = open(route);
      assertEquals("b", dataCentreOf(place(ticket)));
      dispatcher.placeAgain(ticket, now);
      assertEquals("b", dataCentreOf(place(ticket)), "a retry");
    }
    dispatcher.applyEvacuations(Set.of());
    boolean isUsedAgain = false;
    for (int i = 0; i < 200; i++) {
      isUsedAgain |= dataCentreOf(place(open(route))).equals("a");
    }
    assertTrue(isUsedAgain);
  }

  /** A registration that arrives during the evacuation must not make its target usable. */
  @Test
  void targetThatRegistersDuringAnEvacuationGetsNothing() {
    RouteRule route = route(List.of());
    dispatcher.applyEvacuations(Set.of("a"));
    apply(route, "a", "b");
    assertEquals(1, dispatcher.usableTargets());
    assertEquals("b", dataCentreOf(place(open(route))));
  }

  @Test
  void requestIsRefusedAtOnceWhenAllTargetsAreEvacuated() {
    RouteRule route = route(List.of());
    apply(route, "a", "a");
    dispatcher.applyEvacuations(Set.of("a"));
    Placement.Refused refused = assertInstanceOf(Placement.Refused.class, place(open(route)));
    assertTrue(refused.retryAfterMillis() > 0);
    assertEquals(List.of(), probes);
  }

  @Test
  void requestsStayInTheirHomeRegions() {
    RouteRule route = route(List.of("south"));
    apply(route, "a", "a", "b", "unknown");
    for (int i = 0; i < 200; i++) {
      assertEquals("b", dataCentreOf(place(open(route))));
    }
  }

  @Test
  void requestIsRefusedWhenNoTargetIsInAHomeRegion() {
    RouteRule route = route(List.of("south"));
    apply(route, "a", "unknown");
    assertInstanceOf(Placement.Refused.class, place(open(route)));
    assertEquals(List.of(), probes);
  }

  /** Forwarding to an entry elsewhere would take the body out of the allowed regions. */
  @Test
  void requestOfARouteWithHomesIsNotForwarded() {
    assertTrue(!open(route(List.of("south"))).mayBeForwarded());
    assertTrue(open(route(List.of())).mayBeForwarded());
  }
}
