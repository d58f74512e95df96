package org.chivecross.logic.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;

/**
 * Decides which requests go first while a service is under pressure, by the time left, the priority
 * of the route and the expected work. Keeps no requests. Not thread-safe.
 *
 * <p>Invariant: a request is told to yield only until half of the time to its deadline is over, so
 * none is passed over indefinitely.
 */
public final class RequestOrder implements Admission {

  /** Part of the time to the deadline for which a request may yield. */
  private static final double YIELDING_FRACTION = 0.5;

  /**
   * Part of the time to the deadline at whose beginning a late request no longer yields, though it
   * still waits for a target at nominal speed.
   */
  private static final double COMPETING_FRACTION = 0.8;

  /** Time kept for the work after yielding, as a multiple of the work: slow targets need five. */
  private static final double RESERVED_WORK_FACTOR = 5;

  /** Time to spare from which a less urgent request yields, as a multiple of its work. */
  private static final double SPARE_WORK_FACTOR = 1.5;

  /** Work, as a multiple of the mean of the service, from which a request yields to others. */
  private static final double MUCH_WORK_FACTOR = 1.5;

  /** EWMA weight of the newest request in the mean work of a service. */
  private static final double WORK_GAIN = 0.02;

  /**
   * Served fraction, as a part of that over all routes, below which a route doesn't yield to
   * others. The page asks for a quarter; one entry sees a small sample.
   */
  private static final double FLOOR = 0.5;

  /** Lead in the served fraction over a more urgent route; the page allows 0.05. */
  private static final double MAX_LEAD = 0.02;

  /** Time between two looks at reports while a request yields; a third of a slow phase. */
  private static final long RECHECK_MILLIS = 50;

  private final OverloadLevels levels;
  private final RouteOutcomes outcomes = new RouteOutcomes();
  private final Map<String, Double> meanWorkByService = new HashMap<>();
  private Map<String, List<RouteRule>> routesByService = Map.of();

  /** Creates an order by the levels of services. */
  public RequestOrder(OverloadLevels levels) {
    this.levels = levels;
  }

  /** Returns an order by levels of its own, whose changes are not logged. */
  public static RequestOrder withOwnLevels() {
    return new RequestOrder(new OverloadLevels((service, before, now, pressure) -> {}));
  }

  /** Returns the pressure levels that the order goes by. */
  public OverloadLevels levels() {
    return levels;
  }

  @Override
  public void applyRules(RuleSet rules) {
    Map<String, List<RouteRule>> next = new HashMap<>();
    for (RouteRule route : rules.routes()) {
      route
          .services()
          .forEach(part -> next.computeIfAbsent(part.service(), s -> new ArrayList<>()).add(route));
    }
    routesByService = next;
    outcomes.clear();
  }

  @Override
  public void arrived(String service, double workMillis) {
    meanWorkByService.merge(service, workMillis, (mean, work) -> mean + WORK_GAIN * (work - mean));
  }

  @Override
  public AdmissionDecision decide(RequestSituation situation, long nowNanos) {
    return decide(situation, levels.level(situation.service(), nowNanos));
  }

  @Override
  public AdmissionDecision peek(RequestSituation situation, long nowNanos) {
    return decide(situation, levels.peekLevel(situation.service(), nowNanos));
  }

  private AdmissionDecision decide(RequestSituation situation, PressureLevel level) {
    if (level == PressureLevel.NONE) {
      return new AdmissionDecision.Unordered();
    }
    if (isYieldingOver(situation)) {
      if (level == PressureLevel.HIGH && isAheadOfMoreUrgent(situation)) {
        return new AdmissionDecision.RefuseNow("more urgent routes go first");
      }
      return new AdmissionDecision.PlaceNow(true);
    }
    if (!situation.canMeetObjective()) {
      if (situation.leftMillis() <= COMPETING_FRACTION * situation.totalMillis()) {
        return new AdmissionDecision.PlaceNow(false);
      }
      return new AdmissionDecision.Yield(RECHECK_MILLIS);
    }
    if (level == PressureLevel.HIGH && leavesRoomToOthers(situation)) {
      return new AdmissionDecision.Yield(RECHECK_MILLIS);
    }
    return new AdmissionDecision.PlaceNow(false);
  }

  @Override
  public void reported(String service, LoadReport report, long nowNanos) {
    levels.reported(service, report, nowNanos);
  }

  @Override
  public void ended(RouteRule route, String service, boolean served, long nowNanos) {
    outcomes.ended(route, service, served, nowNanos);
  }

  @Override
  public double pressure(String service, long nowNanos) {
    return levels.pressure(service, nowNanos);
  }

  private static boolean isYieldingOver(RequestSituation situation) {
    double reserved =
        Math.max(
            YIELDING_FRACTION * situation.totalMillis(),
            RESERVED_WORK_FACTOR * situation.workMillis());
    return situation.leftMillis() <= reserved && !situation.canMeetObjective();
  }

  private boolean isAheadOfMoreUrgent(RequestSituation situation) {
    RouteRule route = situation.route();
    for (RouteRule other : routesByService.getOrDefault(situation.service(), List.of())) {
      if (other.priority() < route.priority()
          && outcomes.isAhead(route, other, situation.service(), MAX_LEAD)
          && !outcomes.isBelow(FLOOR, route, situation.service())) {
        return true;
      }
    }
    return false;
  }

  private boolean leavesRoomToOthers(RequestSituation situation) {
    double spareMillis = situation.untilObjectiveMillis() - situation.workMillis();
    if (spareMillis < SPARE_WORK_FACTOR * situation.workMillis()
        || outcomes.isBelow(FLOOR, situation.route(), situation.service())) {
      return false;
    }
    int priority = situation.route().priority();
    boolean isMostUrgent = true;
    boolean isLeastUrgent = true;
    for (RouteRule other : routesByService.getOrDefault(situation.service(), List.of())) {
      isMostUrgent &= priority <= other.priority();
      isLeastUrgent &= priority >= other.priority();
    }
    double meanWork = meanWorkByService.getOrDefault(situation.service(), situation.workMillis());
    boolean hasMuchWork = situation.workMillis() > MUCH_WORK_FACTOR * meanWork;
    return !isMostUrgent || (isLeastUrgent && hasMuchWork);
  }
}
