package org.chivecross.logic.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.request.ResponseHead;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;

/**
 * Selects targets for requests by comparing the load reports of a few probed targets, as in power
 * of two choices. The load of targets changes within milliseconds, so a request that finds no fresh
 * report of a good target sends probes of its own.
 *
 * <p>Invariants: a target that is leaving, not registered or has asked for a hold-off is neither
 * chosen nor probed; each attempt counted by {@link #started} ends exactly once. Not thread-safe:
 * all calls are made under one lock.
 */
public final class Dispatcher {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** Age up to which a report is used without a new probe; much shorter than a slow phase. */
  private static final long FRESH_REPORT_NANOS = 25 * NANOS_PER_MILLI;

  /** Timeout of a probe; a healthy target answers at once. */
  private static final long PROBE_TIMEOUT_NANOS = 60 * NANOS_PER_MILLI;

  /**
   * Probe rounds after which the request is placed on the best target so far, waits or is refused.
   */
  private static final int MAX_PROBE_ROUNDS = 5;

  /** Delay until busy targets are probed again; a fraction of a slow phase. */
  private static final long REPROBE_DELAY_NANOS = 30 * NANOS_PER_MILLI;

  /**
   * Queue timeout of a request without a suitable target, as a fraction of the latency objective.
   */
  private static final double QUEUE_TIMEOUT_FRACTION = 0.25;

  /** Fraction of the remaining time that the expected response time may take. */
  private static final double USABLE_TIME_FRACTION = 0.85;

  private final RandomGenerator random;
  private final LeavingListener leavingListener;
  private final RetryAdvice advice;
  private final RetryDelays delays;
  private final DispatchTargetTable targets = new DispatchTargetTable();
  private final ResponseTimeEstimates responseTimes = new ResponseTimeEstimates();
  private final ServiceRoundRobin roundRobin = new ServiceRoundRobin();
  private final RequestRate rate = new RequestRate();
  private final ExpectedResponseTime expectedTimes;
  private final TargetRanking ranking;
  private final PlacementProbes probes;
  private final RequestForwarding forwarding;
  private final RetryBudgets retryBudgets;
  private Optional<RouteTable> routes = Optional.empty();
  private boolean hasTargets;
  private double budgetShare = 1;
  private int budgetEntries;

  /** Creates a dispatcher without routes and targets, whose entry forwards no requests. */
  public Dispatcher(
      DispatchPreferences preferences,
      ProbeSender probeSender,
      LeavingListener leavingListener,
      RandomGenerator random) {
    this(preferences, probeSender, leavingListener, ForwardingPort.NONE, random);
  }

  /** Creates a dispatcher without routes and targets. */
  public Dispatcher(
      DispatchPreferences preferences,
      ProbeSender probeSender,
      LeavingListener leavingListener,
      ForwardingPort forwardingPort,
      RandomGenerator random) {
    this.leavingListener = leavingListener;
    this.random = random;
    retryBudgets = new RetryBudgets(preferences);
    advice = new RetryAdvice(random);
    expectedTimes = new ExpectedResponseTime(targets, preferences);
    ranking = new TargetRanking(targets, expectedTimes, responseTimes, preferences, random);
    delays = new RetryDelays(targets, ranking, advice);
    probes =
        new PlacementProbes(
            probeSender,
            targets,
            ranking,
            new ProbeTokenBucket(preferences.probesPerTargetAndSecond()));
    forwarding = new RequestForwarding(forwardingPort, targets, probes, () -> budgetShare, random);
  }

  /** Replaces the rule set. */
  public void applyRules(RuleSet rules) {
    routes = Optional.of(new RouteTable(rules));
    roundRobin.reset();
  }

  /** Replaces the set of registered targets. */
  public void applyTargets(Collection<RegisteredTarget> registered, long nowNanos) {
    targets.apply(registered, nowNanos);
    hasTargets = true;
  }

  /**
   * Sets this entry's share of the budgets that all entries share.
   *
   * @param share share of all requests, from 0 to 1
   * @param entries entries that share the budgets; 0 when unknown
   */
  public void setBudgetShare(double share, int entries) {
    budgetShare = share;
    budgetEntries = entries;
  }

  /** Returns the rate of requests received by this entry, averaged over some seconds. */
  public double requestsPerSecond(long nowNanos) {
    return rate.perSecond(nowNanos);
  }

  /** Returns whether rules are in force. */
  public boolean hasRules() {
    return routes.isPresent();
  }

  /** Returns the version of the rules in force; 0 before the first ones. */
  public long rulesVersion() {
    return routes.map(RouteTable::rulesVersion).orElse(0L);
  }

  /** Returns whether a set of targets was applied, even an empty one. */
  public boolean hasTargets() {
    return hasTargets;
  }

  /** Returns the route of a request; empty as well while no rules are in force. */
  public Optional<RouteRule> route(String host, String path) {
    return routes.flatMap(table -> table.find(host, path));
  }

  /** Returns the target of a row. */
  public Optional<RegisteredTarget> target(int row) {
    return targets.target(row);
  }

  /** Returns the maximum number of connections from this entry to a target. */
  public int connectionLimit(int row) {
    String service = targets.target(row).map(RegisteredTarget::service).orElse("");
    int accepted = routes.map(table -> table.maxConnections(service)).orElse(0);
    return ConnectionShare.limit(accepted, budgetEntries, budgetShare);
  }

  /** Returns the number of usable targets of all services. */
  public int usableTargets() {
    return targets.usableCount();
  }

  /**
   * Starts the placement of a request.
   *
   * @param schedulePlacement schedules another call of {@link #place}
   */
  public PlacementTicket open(
      RouteRule route,
      long deadlineNanos,
      long bodyBytes,
      Runnable schedulePlacement,
      long nowNanos) {
    rate.count(nowNanos);
    String service = roundRobin.next(route, random.nextDouble());
    retryBudgets.ofService(service).recordRequest(nowNanos);
    return new PlacementTicket(
        route, service, nowNanos, deadlineNanos, bodyBytes, schedulePlacement);
  }

  /** Takes a retry or hedged request from the budget; false when the budget is used up. */
  public boolean tryTakeRetry(PlacementTicket ticket, long nowNanos) {
    return retryBudgets.ofService(ticket.service()).tryTake(budgetShare, nowNanos);
  }

  /** Starts the placement on a target that was not tried before. */
  public void placeAgain(PlacementTicket ticket, long nowNanos) {
    ticket.placeAgain(nowNanos);
  }

  /** Returns the retry delay for a request that a target refused, in ms. */
  public long retryAfterMillis(PlacementTicket ticket, long nowNanos) {
    return delays.afterRefusalMillis(ticket, nowNanos);
  }

  /** Returns the forwarding of requests to other entries. */
  public RequestForwarding forwarding() {
    return forwarding;
  }

  /** Tries to choose a target or, for a request to be forwarded, an entry; may send probes. */
  public Placement place(PlacementTicket ticket, long nowNanos) {
    int entry = forwarding.choose(ticket, nowNanos);
    if (entry != ForwardingTable.NONE) {
      // The entry that sends it to targets counts it.
      retryBudgets.ofService(ticket.service()).forgetRequest(nowNanos);
      return new Placement.Chosen(entry);
    }
    int[] rows = targets.availableRows(ticket.service(), nowNanos);
    if (rows.length == 0) {
      return placeWithoutTargets(ticket, nowNanos);
    }
    double nominalMillis = responseTimes.nominalMillis(ticket.route());
    double leftMillis = (ticket.deadlineNanos() - nowNanos) / (double) NANOS_PER_MILLI;
    if (leftMillis < nominalMillis / 2) {
      return refuse("too little time left for a target", advice.soonMillis());
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
    return placeAfterProbing(ticket, ranking.bestByRecentReports(ticket, rows, nowNanos), nowNanos);
  }

  /** Places a request after its last probe round: takes the best target, waits or refuses. */
  private Placement placeAfterProbing(PlacementTicket ticket, int best, long nowNanos) {
    double bestMillis = expectedMillis(ticket, best, nowNanos);
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

  /**
   * Takes note of what a target announced in a response: its shutdown, or a hold-off. The load
   * report is not evaluated.
   */
  public void announced(int row, ResponseHead head, long nowNanos) {
    head.holdOffMillis()
        .ifPresent(millis -> targets.holdOff(row, nowNanos + millis * NANOS_PER_MILLI));
    if (head.leaving() && targets.markLeaving(row)) {
      targets.target(row).ifPresent(leavingListener::announced);
    }
  }

  /** Records that an attempt was started on a target or forwarded to an entry. */
  public void started(int row) {
    if (RequestForwarding.isEntry(row)) {
      forwarding.started(row);
    } else {
      targets.attemptStarted(row);
    }
  }

  /** Records the end of an attempt that says nothing about the target or entry. */
  public void abandoned(int row) {
    if (RequestForwarding.isEntry(row)) {
      forwarding.ended(row);
    } else {
      targets.attemptEnded(row);
    }
  }

  /**
   * Records that a target answered an attempt.
   *
   * @param wasAtNominalSpeed result of {@link #isAtNominalSpeed} when the target was chosen
   */
  public void served(
      PlacementTicket ticket,
      int row,
      long elapsedNanos,
      boolean wasAtNominalSpeed,
      long nowNanos) {
    targets.attemptEnded(row);
    targets.served(row, nowNanos);
    if (wasAtNominalSpeed) {
      responseTimes.recordAnswer(ticket.route(), elapsedNanos);
    }
  }

  /** Records an attempt that ended without a response, since its connection failed. */
  public void connectionFailed(int row, long nowNanos) {
    failed(row, nowNanos);
    if (!RequestForwarding.isEntry(row)) {
      forwarding.targetFailed(row, nowNanos);
    }
  }

  /** Records an attempt that had no response when the time of its request was over. */
  public void timedOut(int row, long nowNanos) {
    if (RequestForwarding.isEntry(row)) {
      forwarding.ended(row);
    } else {
      failed(row, nowNanos);
    }
  }

  /** Records an attempt that failed because of its target or entry. */
  public void failed(int row, long nowNanos) {
    if (RequestForwarding.isEntry(row)) {
      forwarding.failed(row, nowNanos);
      return;
    }
    targets.attemptEnded(row);
    targets.failed(row, 1, nowNanos);
  }

  /** Records the announced size of a response body. */
  public void responseSized(PlacementTicket ticket, long bytes) {
    responseTimes.recordBodyBytes(ticket.route(), bytes);
  }

  /** Returns whether a target has free slots and works at nominal speed, by its last report. */
  public boolean isAtNominalSpeed(int row, long nowNanos) {
    return !RequestForwarding.isEntry(row) && expectedTimes.isAtNominalSpeed(row, nowNanos);
  }

  /** Returns the last known load of a target or entry. */
  public DispatchEvent.TargetLoad targetLoad(int row, long nowNanos) {
    return RequestForwarding.isEntry(row) ? forwarding.load(row) : targets.load(row, nowNanos);
  }

  /** Returns the number of usable targets of a request's service. */
  public int usableTargets(PlacementTicket ticket) {
    return targets.usableRows(ticket.service()).length;
  }

  /** Returns the expected response time of a target, in ms. */
  public double expectedMillis(PlacementTicket ticket, int row, long nowNanos) {
    return ranking.expectedMillis(ticket, row, nowNanos);
  }

  /** Stores a load report that came with an answer of a target. */
  public void loadReported(int row, LoadReport report, long nowNanos) {
    targets.report(row, report, nowNanos);
  }

  /**
   * Handles the end of a probe.
   *
   * @param healthy whether the target reported that it is healthy
   * @param head its response; empty when it did not answer in time
   */
  public void probeEnded(int row, boolean healthy, Optional<ResponseHead> head, long nowNanos) {
    head.ifPresent(answer -> announced(row, answer, nowNanos));
    head.flatMap(ResponseHead::load).ifPresent(load -> targets.report(row, load, nowNanos));
    if (!healthy) {
      targets.failed(row, 1, nowNanos);
    }
    if (head.isPresent()) {
      forwarding.targetResponded(row, nowNanos);
    } else {
      forwarding.targetFailed(row, nowNanos);
    }
    probes.ended(row);
  }

  /** Returns the timeout of a probe, in ms. */
  public static long probeTimeoutMillis() {
    return PROBE_TIMEOUT_NANOS / NANOS_PER_MILLI;
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
