package org.chivecross.logic.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.fleet.ServiceLoad;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.ruleset.CallerLimits;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.WeightedService;
import org.junit.jupiter.api.Test;

class RequestOrderTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final RouteRule ROUTE =
      new RouteRule(
          "r", "h", "/", List.of(new WeightedService("s", 1)), RequestClass.READ, 3_200, 433, 2, 2);

  private final RequestOrder order = RequestOrder.withOwnLevels();

  private void report(int inService, int queued, int times) {
    for (int i = 0; i < times; i++) {
      order.reported("s", new LoadReport(inService, queued, 2), 0);
    }
  }

  private AdmissionDecision decide(double waitedMillis) {
    RequestSituation situation =
        new RequestSituation(ROUTE, "s", 139, 433 - waitedMillis, 3_200 - waitedMillis, 3_200);
    return order.decide(situation, 0);
  }

  /** A deployment without overload must be served as before. */
  @Test
  void nothingChangesWithoutPressure() {
    report(1, 0, 100);
    assertInstanceOf(AdmissionDecision.Unordered.class, decide(0));
    assertInstanceOf(AdmissionDecision.Unordered.class, decide(2_000));
  }

  /** A late request must not take the slot of one in time, nor be held until its deadline. */
  @Test
  void aLateRequestYieldsUntilHalfOfItsTimeIsOver() {
    report(2, 2, 30);
    assertEquals(new AdmissionDecision.PlaceNow(false), decide(0));
    assertInstanceOf(AdmissionDecision.Yield.class, decide(400));
    assertEquals(new AdmissionDecision.PlaceNow(true), decide(1_600));
  }

  /** Levels that follow each report would change the order of requests many times a second. */
  @Test
  void aLevelRisesAtOnceAndFallsByOneStepAfterTwoSeconds() {
    OverloadLevels levels = order.levels();
    report(2, 2, 30);
    assertEquals(PressureLevel.HIGH, levels.level("s", 0));
    report(0, 0, 100);
    assertEquals(PressureLevel.HIGH, levels.level("s", SECOND));
    assertEquals(PressureLevel.RAISED, levels.level("s", 2 * SECOND));
    assertEquals(PressureLevel.NONE, levels.level("s", 4 * SECOND));
  }

  /** A figure that is no number would make every later mean one. */
  @Test
  void invalidFiguresOfOtherEntriesAreIgnoredAndCounted() {
    report(2, 0, 100);
    double own = order.pressure("s", 0);
    int hash = "s".hashCode();
    List<ServiceLoad> loads =
        List.of(
            new ServiceLoad(hash, Double.NaN),
            new ServiceLoad(hash, -1),
            new ServiceLoad(hash, Double.POSITIVE_INFINITY));
    order
        .levels()
        .advertised(List.of(new FleetMember("10.0.0.1", 1, "a", true, false, 0, 5, false, loads)));
    assertEquals(own, order.pressure("s", 0));
    assertEquals(3, order.levels().invalidCount());
  }

  /** Figures of all 1,000 entries would cost each relay more bytes than the whole membership. */
  @Test
  void aboutSixtyFourEntriesOfALargeFleetAdvertiseAndTheirMeanCounts() {
    report(2, 1, 100);
    int advertising = 0;
    for (long incarnation = 0; incarnation < 1_000; incarnation++) {
      advertising += order.levels().toAdvertise(1_000, incarnation, 0).size();
    }
    assertTrue(advertising >= 32 && advertising <= 128, advertising + " entries advertise");
    double own = order.pressure("s", 0);
    List<ServiceLoad> loads = List.of(new ServiceLoad("s".hashCode(), 2));
    order
        .levels()
        .advertised(List.of(new FleetMember("10.0.0.1", 1, "a", true, false, 0, 5, false, loads)));
    assertTrue(order.pressure("s", 0) > own && order.pressure("s", 0) < (own + 2) / 2);
  }

  /** The priority of a route must count, but not so much that the route gets nothing. */
  @Test
  void aLessUrgentRouteYieldsUnlessItIsServedMuchLessOften() {
    List<WeightedService> services = List.of(new WeightedService("s", 1));
    RouteRule urgent =
        new RouteRule("u", "h", "/u/", services, RequestClass.READ, 3_200, 433, 2, 0);
    order.applyRules(
        new RuleSet(1, List.of(ROUTE, urgent), List.of(), new CallerLimits(1, 1, 1, 1)));
    report(2, 2, 30);
    assertInstanceOf(AdmissionDecision.Yield.class, decide(0));
    for (int i = 0; i < 40; i++) {
      order.ended(urgent, "s", i % 2 == 0, 0);
      order.ended(ROUTE, "s", true, 0);
    }
    assertInstanceOf(AdmissionDecision.RefuseNow.class, decide(1_600));
    for (int i = 0; i < 400; i++) {
      order.ended(urgent, "s", true, 0);
      order.ended(ROUTE, "s", false, 0);
    }
    assertEquals(new AdmissionDecision.PlaceNow(false), decide(0));
    assertEquals(new AdmissionDecision.PlaceNow(true), decide(1_600));
  }
}
