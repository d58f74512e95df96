package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;
import org.chivecross.logic.admission.Admission;
import org.chivecross.logic.admission.AdmissionDecision;
import org.chivecross.logic.admission.RequestSituation;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;

/**
 * Places requests while their service is under pressure. A request waits in the entry rather than
 * in the queue of a target while it can still be served in time elsewhere: a target in whose queue
 * it waits can't be changed any more, and works more slowly when it is full. Not thread-safe.
 */
final class OrderedPlacement {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** Probes after which a nearly full target at nominal speed is taken. */
  private static final int PROBES_FOR_ROOM = 1;

  /** Probes of a request that yields; the rest is for its last chance. */
  private static final int MAX_PROBES_YIELDING = 2;

  /** Probes of any other request; a probe takes the time of a target that lacks it. */
  private static final int MAX_PROBES = 5;

  /**
   * Pressure above which a request that has waited for a while sends no more probes: they would
   * find queues, and take time that the targets lack.
   */
  private static final double PROBING_PRESSURE = 0.9;

  /** Time between the probes of a request that yields; most of a slow phase. */
  private static final long YIELDING_PROBE_INTERVAL_MILLIS = 120;

  /** Delay until a request that can meet its objective probes again; a fifth of a slow phase. */
  private static final long REPROBE_MILLIS = 30;

  /**
   * Fraction of the time to the deadline that the expected response time may take at the last
   * chance: a target with a queue may begin the work in a slow phase.
   */
  private static final double LAST_CHANCE_TIME_FRACTION = 0.5;

  /** Free slots of a target that a request may take when it leaves room to others. */
  private static final int ROOM_SLOTS = 2;

  private final Admission admission;
  private final DispatchTargetTable targets;
  private final TargetRanking ranking;
  private final PlacementProbes probes;
  private final RetryDelays delays;
  private final LimitedTargets limitedTargets;
  private long yielded;
  private long refusedForDeadline;
  private long refusedForUrgency;

  OrderedPlacement(
      Admission admission,
      DispatchTargetTable targets,
      TargetRanking ranking,
      PlacementProbes probes,
      RetryDelays delays,
      LimitedTargets limitedTargets) {
    this.admission = admission;
    this.targets = targets;
    this.ranking = ranking;
    this.probes = probes;
    this.delays = delays;
    this.limitedTargets = limitedTargets;
  }

  /** Returns the decision about a request that has no target yet. */
  AdmissionDecision decide(PlacementTicket ticket, double nominalMillis, long nowNanos) {
    return admission.decide(situation(ticket, nominalMillis, nowNanos), nowNanos);
  }

  /** Returns the same decision without a change of any state. */
  AdmissionDecision peek(PlacementTicket ticket, double nominalMillis, long nowNanos) {
    return admission.peek(situation(ticket, nominalMillis, nowNanos), nowNanos);
  }

  /** Returns the pressure on the service of a request. */
  double pressure(PlacementTicket ticket, long nowNanos) {
    return admission.pressure(ticket.service(), nowNanos);
  }

  private static RequestSituation situation(
      PlacementTicket ticket, double nominalMillis, long nowNanos) {
    return new RequestSituation(
        ticket.route(),
        ticket.service(),
        nominalMillis,
        untilObjectiveMillis(ticket, nowNanos),
        leftMillis(ticket, nowNanos),
        (ticket.deadlineNanos() - ticket.arrivedNanos()) / (double) NANOS_PER_MILLI);
  }

  /**
   * Tries to choose a target under pressure; may send probes.
   *
   * @param available targets that may get the request
   * @param rows those of them that have no request limit
   */
  Placement place(
      PlacementTicket ticket,
      AdmissionDecision decision,
      int[] available,
      int[] rows,
      double budgetShare,
      long nowNanos) {
    if (decision instanceof AdmissionDecision.RefuseNow refusal) {
      refusedForUrgency++;
      return refuse(ticket, refusal.cause(), rows, nowNanos);
    }
    boolean yields = decision instanceof AdmissionDecision.Yield;
    if (yields && ticket.markYielded()) {
      yielded++;
    }
    int best = ranking.best(ticket, rows, TargetPlacement.FRESH_REPORT_NANOS, nowNanos);
    if (ranking.isGoodEnough(ticket, best, rows, nowNanos)
        && (hasRoom(best) || (!yields && ticket.probeCount() >= PROBES_FOR_ROOM))) {
      return choose(ticket, best);
    }
    if (ticket.hasOutstandingProbes() || probes(ticket, yields, rows, budgetShare, nowNanos)) {
      return new Placement.Pending(nowNanos + TargetPlacement.PROBE_TIMEOUT_NANOS);
    }
    int limited = limitedTargets.take(ticket, available, nowNanos);
    if (limited != DispatchTargetTable.NONE) {
      return choose(ticket, limited);
    }
    if (hasOnlyTooBusyTargets(ticket, rows, nowNanos)) {
      refusedForDeadline++;
      return refuse(ticket, noneMeetsDeadline(ticket), rows, nowNanos);
    }
    if (decision instanceof AdmissionDecision.Yield yield) {
      return new Placement.Pending(nowNanos + yield.recheckMillis() * NANOS_PER_MILLI);
    }
    boolean isLastChance =
        decision instanceof AdmissionDecision.PlaceNow place && place.isLastChance();
    return isLastChance
        ? placeByDeadline(ticket, rows, nowNanos)
        : placeByObjective(ticket, rows, nowNanos);
  }

  /** Returns the numbers of requests that yielded or were refused. */
  OrderCounts counts() {
    return new OrderCounts(yielded, refusedForDeadline, refusedForUrgency);
  }

  private boolean probes(
      PlacementTicket ticket, boolean yields, int[] rows, double budgetShare, long nowNanos) {
    if (hasWaitedAWhile(ticket, nowNanos)
        && admission.pressure(ticket.service(), nowNanos) > PROBING_PRESSURE) {
      return false;
    }
    int sent = ticket.probeCount();
    if (sent >= (yields ? MAX_PROBES_YIELDING : MAX_PROBES)
        || (yields && sent > 0 && nowNanos < ticket.nextProbeNanos())) {
      return false;
    }
    if (!probes.startRound(ticket, rows, budgetShare, nowNanos)) {
      return false;
    }
    ticket.probeNotBefore(nowNanos + YIELDING_PROBE_INTERVAL_MILLIS * NANOS_PER_MILLI);
    return true;
  }

  /** Places a request that can meet its objective, but found no good target. */
  private Placement placeByObjective(PlacementTicket ticket, int[] rows, long nowNanos) {
    int best = ranking.bestByRecentReports(ticket, rows, nowNanos);
    double usableMillis =
        untilObjectiveMillis(ticket, nowNanos) * TargetPlacement.USABLE_TIME_FRACTION;
    // Waiting longer for a better target made requests late: estimates err, and phases change.
    if (ranking.expectedMillis(ticket, best, nowNanos) <= usableMillis) {
      return choose(ticket, best);
    }
    return new Placement.Pending(nowNanos + REPROBE_MILLIS * NANOS_PER_MILLI);
  }

  /** Places a request that has waited as long as it may on any target that meets its deadline. */
  private Placement placeByDeadline(PlacementTicket ticket, int[] rows, long nowNanos) {
    int best = ranking.bestByRecentReports(ticket, rows, nowNanos);
    double bestMillis = ranking.expectedMillis(ticket, best, nowNanos);
    if (bestMillis <= leftMillis(ticket, nowNanos) * LAST_CHANCE_TIME_FRACTION) {
      return choose(ticket, best);
    }
    refusedForDeadline++;
    return refuse(ticket, noneMeetsDeadline(ticket), rows, nowNanos);
  }

  /**
   * Returns whether the best target by recent reports would answer after the deadline, and the
   * request has waited for a better one for a while.
   */
  private boolean hasOnlyTooBusyTargets(PlacementTicket ticket, int[] rows, long nowNanos) {
    if (!hasWaitedAWhile(ticket, nowNanos)) {
      return false;
    }
    int best = ranking.bestByRecentReports(ticket, rows, nowNanos);
    return ranking.expectedMillis(ticket, best, nowNanos)
        > leftMillis(ticket, nowNanos) * TargetPlacement.USABLE_TIME_FRACTION;
  }

  private static boolean hasWaitedAWhile(PlacementTicket ticket, long nowNanos) {
    double waitedMillis = (nowNanos - ticket.placingSinceNanos()) / (double) NANOS_PER_MILLI;
    return waitedMillis
        >= TargetPlacement.QUEUE_TIMEOUT_FRACTION * ticket.route().latencyObjectiveMillis();
  }

  private static String noneMeetsDeadline(PlacementTicket ticket) {
    return "no target of " + ticket.service() + " meets the deadline";
  }

  /** A target with one slot has room when it is free. */
  boolean hasRoom(int row) {
    return targets.freeSlots(row) >= Math.min(ROOM_SLOTS, targets.slots(row));
  }

  private static double untilObjectiveMillis(PlacementTicket ticket, long nowNanos) {
    return ticket.route().latencyObjectiveMillis()
        - (nowNanos - ticket.arrivedNanos()) / (double) NANOS_PER_MILLI;
  }

  private static double leftMillis(PlacementTicket ticket, long nowNanos) {
    return (ticket.deadlineNanos() - nowNanos) / (double) NANOS_PER_MILLI;
  }

  private static Placement choose(PlacementTicket ticket, int row) {
    ticket.markTried(row);
    return new Placement.Chosen(row);
  }

  private Placement refuse(PlacementTicket ticket, String detail, int[] rows, long nowNanos) {
    int best = ranking.bestByRecentReports(ticket, rows, nowNanos);
    double bestMillis = ranking.expectedMillis(ticket, best, nowNanos);
    return new Placement.Refused(
        new Failure(Step.SELECT_TARGET, Failure.LOCAL, detail),
        delays.underPressureMillis(ticket, bestMillis, nowNanos));
  }
}
