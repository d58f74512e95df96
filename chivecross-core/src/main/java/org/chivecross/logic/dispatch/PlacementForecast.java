package org.chivecross.logic.dispatch;

import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.admission.AdmissionDecision;
import org.chivecross.logic.dispatch.PlacementExplanation.Outcome;

/**
 * Forecasts what {@link TargetPlacement} would decide about a new request, from the last load
 * reports. Sends no probes, takes no tokens and changes no state. Not thread-safe.
 */
final class PlacementForecast {

  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final DispatchTargetTable targets;
  private final HomeRegions homes;
  private final TargetRanking ranking;
  private final ResponseTimeEstimates responseTimes;
  private final LimitedTargets limitedTargets;
  private final OrderedPlacement ordered;

  /**
   * A forecast.
   *
   * @param row row of the target that would be chosen, or {@link DispatchTargetTable#NONE}
   * @param detail reason for the outcome
   */
  record Forecast(Outcome outcome, int row, String detail) {}

  PlacementForecast(
      DispatchTargetTable targets,
      HomeRegions homes,
      TargetRanking ranking,
      ResponseTimeEstimates responseTimes,
      LimitedTargets limitedTargets,
      OrderedPlacement ordered) {
    this.targets = targets;
    this.homes = homes;
    this.ranking = ranking;
    this.responseTimes = responseTimes;
    this.limitedTargets = limitedTargets;
    this.ordered = ordered;
  }

  /** Returns the forecast for the first placement of a request. */
  Forecast of(PlacementTicket ticket, long nowNanos) {
    String service = ticket.service();
    int[] usable = targets.availableRows(service, nowNanos);
    int[] available = homes.allowed(ticket.route(), usable);
    if (available.length == 0) {
      return withoutTargets(ticket, usable.length > 0, nowNanos);
    }
    double leftMillis = (ticket.deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
    if (leftMillis < responseTimes.nominalMillis(ticket.route()) / 2) {
      return refuse("too little time left for a target");
    }
    int unsampled = unsampled(ticket, available, nowNanos);
    if (unsampled != DispatchTargetTable.NONE) {
      return new Forecast(Outcome.PLACE, unsampled, "a request shows whether its limit holds");
    }
    int[] rows =
        Arrays.stream(available)
            .filter(row -> limitedTargets.peek(row, nowNanos).isEmpty())
            .toArray();
    if (rows.length == 0) {
      return onLimited(ticket, available, nowNanos);
    }
    AdmissionDecision decision =
        ordered.peek(ticket, responseTimes.nominalMillis(ticket.route()), nowNanos);
    if (decision instanceof AdmissionDecision.RefuseNow refusal) {
      return refuse(refusal.cause());
    }
    boolean isOrdered = !(decision instanceof AdmissionDecision.Unordered);
    int fresh = ranking.best(ticket, rows, TargetPlacement.FRESH_REPORT_NANOS, nowNanos);
    if (ranking.isGoodEnough(ticket, fresh, rows, nowNanos)
        && (!isOrdered || ordered.hasRoom(fresh))) {
      return new Forecast(Outcome.PLACE, fresh, "its fresh load report is good enough");
    }
    return afterProbing(ticket, available, rows, nowNanos);
  }

  /** Forecasts the probes by the last reports; a target without one counts as idle. */
  private Forecast afterProbing(
      PlacementTicket ticket, int[] available, int[] rows, long nowNanos) {
    int best = ranking.inOrder(ticket, rows, nowNanos)[0];
    double bestMillis = ranking.expectedMillis(ticket, best, nowNanos);
    double objectiveMillis = ticket.route().latencyObjectiveMillis();
    if (bestMillis <= objectiveMillis * TargetPlacement.USABLE_TIME_FRACTION) {
      return new Forecast(
          Outcome.PLACE_AFTER_PROBE,
          best,
          "no fresh load report is good enough; this is the best target by the last ones");
    }
    int limited = limited(ticket, available, nowNanos);
    if (limited != DispatchTargetTable.NONE) {
      return new Forecast(
          Outcome.PLACE_AFTER_PROBE, limited, "targets without a limit would miss the objective");
    }
    return new Forecast(
        Outcome.WAIT,
        DispatchTargetTable.NONE,
        "all targets of "
            + ticket.service()
            + (targets.hasFreeSlot(rows) ? " are slow" : " are busy")
            + " by their last reports");
  }

  private Forecast onLimited(PlacementTicket ticket, int[] rows, long nowNanos) {
    int row = limited(ticket, rows, nowNanos);
    if (row != DispatchTargetTable.NONE) {
      return new Forecast(Outcome.PLACE, row, "all targets are limited or warm up; it has a share");
    }
    long nextNanos =
        Arrays.stream(rows)
            .mapToObj(limited -> limitedTargets.peek(limited, nowNanos))
            .flatMap(Optional::stream)
            .mapToLong(peek -> peek.nextTokenNanos(nowNanos))
            .min()
            .orElse(Long.MAX_VALUE);
    String detail =
        "request limits and warm-up rates of all targets of " + ticket.service() + " are used up";
    return waitOrRefuse(ticket, (nextNanos - nowNanos) / NANOS_PER_MILLI, detail);
  }

  private Forecast withoutTargets(PlacementTicket ticket, boolean hasElsewhere, long nowNanos) {
    String service = ticket.service();
    if (hasElsewhere) {
      return refuse("no usable target of " + service + " in a home region");
    }
    int[] heldOff = targets.usableRows(service);
    if (heldOff.length == 0) {
      return refuse("no usable target of " + service);
    }
    double waitMillis = (targets.earliestHoldOffEndNanos(heldOff) - nowNanos) / NANOS_PER_MILLI;
    return waitOrRefuse(ticket, waitMillis, "all targets of " + service + " asked for a hold-off");
  }

  private static Forecast waitOrRefuse(PlacementTicket ticket, double waitMillis, String detail) {
    double maxMillis =
        TargetPlacement.QUEUE_TIMEOUT_FRACTION * ticket.route().latencyObjectiveMillis();
    return waitMillis < maxMillis
        ? new Forecast(Outcome.WAIT, DispatchTargetTable.NONE, detail)
        : refuse(detail);
  }

  private int unsampled(PlacementTicket ticket, int[] rows, long nowNanos) {
    for (int row : rows) {
      Optional<LimitedTargets.Peek> peek = limitedTargets.peek(row, nowNanos);
      if (peek.isPresent()
          && peek.get().isUnsampled()
          && limitedTargets.mayTry(ticket, row, nowNanos)
          && peek.get().hasToken()) {
        return row;
      }
    }
    return DispatchTargetTable.NONE;
  }

  private int limited(PlacementTicket ticket, int[] rows, long nowNanos) {
    int[] withToken =
        Arrays.stream(rows)
            .filter(row -> limitedTargets.mayTry(ticket, row, nowNanos))
            .filter(row -> limitedTargets.peek(row, nowNanos).filter(p -> p.hasToken()).isPresent())
            .toArray();
    if (withToken.length == 0) {
      return DispatchTargetTable.NONE;
    }
    int best = ranking.best(ticket, withToken, Long.MAX_VALUE, nowNanos);
    return best == DispatchTargetTable.NONE ? withToken[0] : best;
  }

  private static Forecast refuse(String detail) {
    return new Forecast(Outcome.REFUSE, DispatchTargetTable.NONE, detail);
  }
}
