package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;
import org.chivecross.logic.admission.AdmissionDecision;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;

/**
 * Places requests on targets: chooses one with a good load report, probes more of them, lets the
 * request wait or refuses it. Keeps no state of its own. Not thread-safe.
 */
final class TargetPlacement {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** Age up to which a report is used without a new probe; much shorter than a slow phase. */
  static final long FRESH_REPORT_NANOS = 25 * NANOS_PER_MILLI;

  /** Timeout of a probe; a healthy target answers at once. */
  static final long PROBE_TIMEOUT_NANOS = 60 * NANOS_PER_MILLI;

  /**
   * Probe rounds after which the request is placed on the best target so far, waits or is refused.
   */
  private static final int MAX_PROBE_ROUNDS = 5;

  /** Delay until busy targets are probed again; a fraction of a slow phase. */
  private static final long REPROBE_DELAY_NANOS = 30 * NANOS_PER_MILLI;

  /**
   * Queue timeout of a request without a suitable target, as a fraction of the latency objective.
   */
  static final double QUEUE_TIMEOUT_FRACTION = 0.25;

  /** Fraction of the remaining time that the expected response time may take. */
  static final double USABLE_TIME_FRACTION = 0.85;

  private final DispatchTargetTable targets;
  private final HomeRegions homes;
  private final TargetRanking ranking;
  private final ResponseTimeEstimates responseTimes;
  private final PlacementProbes probes;
  private final RetryAdvice advice;
  private final RetryDelays delays;
  private final LimitedTargets limitedTargets;
  private final OrderedPlacement ordered;

  TargetPlacement(
      DispatchTargetTable targets,
      HomeRegions homes,
      TargetRanking ranking,
      ResponseTimeEstimates responseTimes,
      PlacementProbes probes,
      RetryAdvice advice,
      RetryDelays delays,
      LimitedTargets limitedTargets,
      OrderedPlacement ordered) {
    this.limitedTargets = limitedTargets;
    this.ordered = ordered;
    this.targets = targets;
    this.homes = homes;
    this.ranking = ranking;
    this.responseTimes = responseTimes;
    this.probes = probes;
    this.advice = advice;
    this.delays = delays;
  }

  /**
   * Tries to choose a target; may send probes.
   *
   * @param budgetShare this entry's share of the probe budget, from 0 to 1
   */
  Placement place(PlacementTicket ticket, double budgetShare, long nowNanos) {
    int[] usable = targets.availableRows(ticket.service(), nowNanos);
    int[] available = homes.allowed(ticket.route(), usable);
    if (available.length == 0 && usable.length > 0) {
      return refuse(
          "no usable target of " + ticket.service() + " in a home region", advice.maxMillis());
    }
    if (available.length == 0) {
      return placeWithoutTargets(ticket, nowNanos);
    }
    double nominalMillis = responseTimes.nominalMillis(ticket.route());
    double leftMillis = (ticket.deadlineNanos() - nowNanos) / (double) NANOS_PER_MILLI;
    if (leftMillis < nominalMillis / 2) {
      return refuse("too little time left for a target", advice.soonMillis());
    }
    int[] rows = limitedTargets.withoutLimit(available, nowNanos);
    if (rows.length < available.length) {
      int unsampled = limitedTargets.takeUnsampled(ticket, available, nowNanos);
      if (unsampled != DispatchTargetTable.NONE) {
        return choose(ticket, unsampled);
      }
    }
    if (rows.length == 0) {
      return placeOnLimited(ticket, available, nowNanos);
    }
    AdmissionDecision decision = ordered.decide(ticket, nominalMillis, nowNanos);
    if (!(decision instanceof AdmissionDecision.Unordered)) {
      return ordered.place(ticket, decision, available, rows, budgetShare, nowNanos);
    }
    int best = ranking.best(ticket, rows, FRESH_REPORT_NANOS, nowNanos);
    if (ranking.isGoodEnough(ticket, best, rows, nowNanos)) {
      return choose(ticket, best);
    }
    if (ticket.hasOutstandingProbes()) {
      return new Placement.Pending(nowNanos + PROBE_TIMEOUT_NANOS);
    }
    if (ticket.probeRounds() < MAX_PROBE_ROUNDS
        && probes.startRound(ticket, rows, budgetShare, nowNanos)) {
      return new Placement.Pending(nowNanos + PROBE_TIMEOUT_NANOS);
    }
    return placeAfterProbing(ticket, available, rows, nowNanos);
  }

  /** Places a request after its last probe round: takes the best target, waits or refuses. */
  private Placement placeAfterProbing(
      PlacementTicket ticket, int[] available, int[] rows, long nowNanos) {
    int best = ranking.bestByRecentReports(ticket, rows, nowNanos);
    double bestMillis = ranking.expectedMillis(ticket, best, nowNanos);
    double leftMillis = (ticket.deadlineNanos() - nowNanos) / (double) NANOS_PER_MILLI;
    double waitedMillis = (nowNanos - ticket.placingSinceNanos()) / (double) NANOS_PER_MILLI;
    double objectiveMillis = ticket.route().latencyObjectiveMillis();
    double untilObjectiveMillis =
        objectiveMillis - (nowNanos - ticket.arrivedNanos()) / (double) NANOS_PER_MILLI;
    boolean mayWait = waitedMillis < QUEUE_TIMEOUT_FRACTION * objectiveMillis;
    if (best != DispatchTargetTable.NONE
        && bestMillis <= untilObjectiveMillis * USABLE_TIME_FRACTION) {
      return choose(ticket, best);
    }
    int limited = limitedTargets.take(ticket, available, nowNanos);
    if (limited != DispatchTargetTable.NONE) {
      return choose(ticket, limited);
    }
    if (best != DispatchTargetTable.NONE
        && !mayWait
        && bestMillis <= leftMillis * USABLE_TIME_FRACTION) {
      return choose(ticket, best);
    }
    if (!mayWait) {
      boolean onlySlow = targets.hasFreeSlot(targets.availableRows(ticket.service(), nowNanos));
      return refuse(
          "all targets of " + ticket.service() + (onlySlow ? " are slow" : " are busy"),
          onlySlow ? advice.nextPhaseMillis() : advice.afterBacklogMillis(bestMillis));
    }
    ticket.restartProbeRounds();
    return new Placement.Pending(nowNanos + REPROBE_DELAY_NANOS);
  }

  /** Places a request for which all targets have a request limit or warm up. */
  private Placement placeOnLimited(PlacementTicket ticket, int[] rows, long nowNanos) {
    int row = limitedTargets.take(ticket, rows, nowNanos);
    if (row != DispatchTargetTable.NONE) {
      return choose(ticket, row);
    }
    long nextNanos = limitedTargets.nextTokenNanos(ticket, rows, nowNanos);
    double waitMillis = (nextNanos - ticket.placingSinceNanos()) / (double) NANOS_PER_MILLI;
    if (waitMillis < QUEUE_TIMEOUT_FRACTION * ticket.route().latencyObjectiveMillis()) {
      return new Placement.Pending(nextNanos);
    }
    return refuse(
        "request limits and warm-up rates of all targets of " + ticket.service() + " are used up",
        advice.afterHoldOffMillis(
            Math.min(advice.maxMillis(), (nextNanos - nowNanos) / NANOS_PER_MILLI)));
  }

  /** Waits for the end of the first hold-off if that is soon, otherwise refuses the request. */
  private Placement placeWithoutTargets(PlacementTicket ticket, long nowNanos) {
    int[] heldOff = targets.usableRows(ticket.service());
    if (heldOff.length == 0) {
      return refuse("no usable target of " + ticket.service(), advice.maxMillis());
    }
    long endNanos = targets.earliestHoldOffEndNanos(heldOff);
    double waitMillis = (endNanos - ticket.placingSinceNanos()) / (double) NANOS_PER_MILLI;
    if (waitMillis < QUEUE_TIMEOUT_FRACTION * ticket.route().latencyObjectiveMillis()) {
      return new Placement.Pending(endNanos);
    }
    return refuse(
        "all targets of " + ticket.service() + " asked for a hold-off",
        delays.afterHoldOffMillis(ticket, nowNanos));
  }

  private Placement choose(PlacementTicket ticket, int row) {
    ticket.markTried(row);
    return new Placement.Chosen(row);
  }

  private Placement refuse(String detail, long retryAfterMillis) {
    return new Placement.Refused(
        new Failure(Step.SELECT_TARGET, Failure.LOCAL, detail), retryAfterMillis);
  }
}
