package org.chivecross.logic.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.chivecross.logic.admission.AdmissionDecision;
import org.chivecross.logic.dispatch.PlacementExplanation.Candidate;
import org.chivecross.logic.dispatch.PlacementExplanation.Outcome;
import org.chivecross.logic.dispatch.PlacementExplanation.Reason;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.ruleset.RouteRule;

/**
 * Explains the placement of a request from the dispatcher's state. Sends no probes, takes no tokens
 * and changes no state. Not thread-safe.
 */
public final class PlacementExplainer {

  private final DispatchTargetTable targets;
  private final HomeRegions homes;
  private final TargetRanking ranking;
  private final ResponseTimeEstimates responseTimes;
  private final LimitedTargets limitedTargets;
  private final Supplier<Optional<RouteTable>> routes;
  private final ServiceRoundRobin roundRobin;
  private final RequestForwarding forwarding;
  private final OrderedPlacement ordered;
  private final PlacementForecast forecast;

  /**
   * Creates the explanations of one dispatcher.
   *
   * @param routes returns the routes in force; empty before the first rules
   */
  PlacementExplainer(
      Supplier<Optional<RouteTable>> routes,
      ServiceRoundRobin roundRobin,
      RequestForwarding forwarding,
      DispatchTargetTable targets,
      HomeRegions homes,
      TargetRanking ranking,
      ResponseTimeEstimates responseTimes,
      LimitedTargets limitedTargets,
      OrderedPlacement ordered) {
    this.routes = routes;
    this.roundRobin = roundRobin;
    this.forwarding = forwarding;
    this.targets = targets;
    this.homes = homes;
    this.ranking = ranking;
    this.responseTimes = responseTimes;
    this.limitedTargets = limitedTargets;
    this.ordered = ordered;
    forecast =
        new PlacementForecast(targets, homes, ranking, responseTimes, limitedTargets, ordered);
  }

  /**
   * Explains where a request that arrives now would be sent, without changing any state.
   *
   * @param deadlineMillis time until its deadline, in ms; the timeout of its route if empty
   */
  public PlacementExplanation explain(
      String host, String path, long bodyBytes, OptionalLong deadlineMillis, long nowNanos) {
    Optional<RouteTable> table = routes.get();
    Optional<RouteRule> found = table.flatMap(rules -> rules.find(host, path));
    if (found.isEmpty()) {
      return withoutRoute(
          table.isPresent() ? "no route matches host and path" : "this entry has no rules yet");
    }
    RouteRule route = found.get();
    long millis = Math.min(deadlineMillis.orElse(Long.MAX_VALUE), route.timeoutMillis());
    PlacementTicket ticket =
        new PlacementTicket(
            route,
            roundRobin.peek(route),
            nowNanos,
            nowNanos + TimeUnit.MILLISECONDS.toNanos(millis),
            bodyBytes,
            () -> {});
    boolean isForwarded = forwarding.isIsolated() && !homes.mayLeaveHome(route);
    return explain(ticket, isForwarded, nowNanos);
  }

  /** Returns the explanation of a request that no route matches. */
  static PlacementExplanation withoutRoute(String detail) {
    return new PlacementExplanation(
        Outcome.NO_ROUTE,
        detail,
        "",
        "",
        new PlacementExplanation.Admission("none", "none"),
        0,
        0,
        "",
        List.of());
  }

  /**
   * Explains the placement of a request that arrives now.
   *
   * @param ticket ticket of the request; no target was tried for it
   * @param isolated whether this entry reaches no target and may forward the request
   */
  PlacementExplanation explain(PlacementTicket ticket, boolean isolated, long nowNanos) {
    PlacementForecast.Forecast found =
        isolated
            ? new PlacementForecast.Forecast(
                Outcome.FORWARD,
                DispatchTargetTable.NONE,
                "this entry reaches no target; another entry places the request")
            : forecast.of(ticket, nowNanos);
    int[] available = targets.availableRows(ticket.service(), nowNanos);
    double minFailures = targets.minFailures(available, nowNanos);
    List<Candidate> candidates = new ArrayList<>();
    for (int row : order(ticket, available, nowNanos)) {
      candidates.add(candidate(ticket, row, row == found.row(), minFailures, nowNanos));
    }
    return new PlacementExplanation(
        found.outcome(),
        found.detail(),
        ticket.route().name(),
        ticket.service(),
        admission(ticket, nowNanos),
        TimeUnit.NANOSECONDS.toMillis(ticket.deadlineNanos() - nowNanos),
        Math.round(responseTimes.nominalMillis(ticket.route())),
        targets.target(found.row()).map(RegisteredTarget::id).orElse(""),
        candidates);
  }

  /** Returns how the request is admitted while its service is under pressure. */
  private PlacementExplanation.Admission admission(PlacementTicket ticket, long nowNanos) {
    double nominalMillis = responseTimes.nominalMillis(ticket.route());
    AdmissionDecision decision = ordered.peek(ticket, nominalMillis, nowNanos);
    String pressure = String.format(Locale.ROOT, "%.2f", ordered.pressure(ticket, nowNanos));
    if (decision instanceof AdmissionDecision.Yield) {
      return new PlacementExplanation.Admission(pressure, "yield");
    }
    if (decision instanceof AdmissionDecision.RefuseNow) {
      return new PlacementExplanation.Admission(pressure, "refuse now");
    }
    boolean isOrdered = !(decision instanceof AdmissionDecision.Unordered);
    return new PlacementExplanation.Admission(pressure, isOrdered ? "place now" : "none");
  }

  /** Returns all registered targets: those that may be chosen, the limited ones, the others. */
  private int[] order(PlacementTicket ticket, int[] available, long nowNanos) {
    int[] all = targets.registeredRows(ticket.service());
    int[] allowed = homes.allowed(ticket.route(), available);
    int[] free =
        Arrays.stream(allowed)
            .filter(row -> limitedTargets.peek(row, nowNanos).isEmpty())
            .toArray();
    Set<Integer> order = new LinkedHashSet<>();
    for (int[] rows : List.of(free, allowed, all)) {
      for (int row : ranking.inOrder(ticket, rows, nowNanos)) {
        order.add(row);
      }
    }
    return order.stream().mapToInt(Integer::intValue).toArray();
  }

  private Candidate candidate(
      PlacementTicket ticket, int row, boolean chosen, double minFailures, long nowNanos) {
    RegisteredTarget target = targets.target(row).orElseThrow();
    DispatchEvent.TargetLoad load = targets.load(row, nowNanos);
    double rankingMillis = ranking.rankingMillis(ticket, row, minFailures, nowNanos);
    return new Candidate(
        target.id(),
        target.address().toString(),
        target.dataCentre(),
        load.running(),
        load.waiting(),
        targets.slots(row),
        load.slowdownPercent(),
        load.reportAgeMillis(),
        Math.round(ranking.expectedMillis(ticket, row, nowNanos)),
        Math.round(rankingMillis),
        reason(ticket, row, rankingMillis, nowNanos),
        chosen);
  }

  private Reason reason(PlacementTicket ticket, int row, double rankingMillis, long nowNanos) {
    if (targets.isLeaving(row)) {
      return Reason.LEAVING;
    }
    if (targets.isEvacuated(row)) {
      return Reason.EVACUATED;
    }
    if (targets.isHeldOff(row, nowNanos)) {
      return Reason.HOLD_OFF;
    }
    if (homes.allowed(ticket.route(), new int[] {row}).length == 0) {
      return Reason.OUTSIDE_HOME_REGIONS;
    }
    Optional<LimitedTargets.Peek> limit = limitedTargets.peek(row, nowNanos);
    if (limit.isPresent()) {
      return limitReason(ticket, row, limit.get(), nowNanos);
    }
    if (rankingMillis <= ranking.goodEnoughMillis(ticket)) {
      boolean isReported = targets.hasReportWithin(row, Long.MAX_VALUE, nowNanos);
      return isReported ? Reason.GOOD_ENOUGH : Reason.NO_REPORT;
    }
    return weakness(ticket, row, nowNanos);
  }

  private Reason limitReason(
      PlacementTicket ticket, int row, LimitedTargets.Peek limit, long nowNanos) {
    if (!limitedTargets.mayTry(ticket, row, nowNanos)) {
      return Reason.FAILED_LATELY;
    }
    if (targets.isWarm(row, nowNanos)) {
      return limit.hasToken() ? Reason.LIMIT_SHARE : Reason.LIMIT_WITHOUT_SHARE;
    }
    return limit.hasToken() ? Reason.WARM_UP_SHARE : Reason.WARM_UP_WITHOUT_SHARE;
  }

  /** Returns the first cause for which a target without a limit is not good enough. */
  private Reason weakness(PlacementTicket ticket, int row, long nowNanos) {
    double expectedMillis = ranking.expectedMillis(ticket, row, nowNanos);
    double acceptedMillis = ranking.goodEnoughMillis(ticket);
    if (targets.running(row) + targets.waiting(row) >= targets.slots(row)) {
      return Reason.FULL;
    }
    if (expectedMillis > acceptedMillis) {
      return Reason.SLOW;
    }
    boolean isTooFar = expectedMillis + ranking.crossDataCentreMillis(ticket, row) > acceptedMillis;
    return isTooFar ? Reason.OTHER_DATA_CENTRE : Reason.FAILED_LATELY;
  }
}
