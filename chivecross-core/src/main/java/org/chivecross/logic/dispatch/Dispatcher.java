package org.chivecross.logic.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.chivecross.logic.admission.Admission;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.request.ProbeResult;
import org.chivecross.model.request.ResponseHead;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;

/**
 * Selects targets for requests by comparing the load reports of a few probed targets, as in power
 * of two choices. The load of targets changes within milliseconds, so a request that finds no fresh
 * report of a good target sends probes of its own.
 *
 * <p>Invariants: a target that is leaving, not registered, in an evacuated data centre or has asked
 * for a hold-off is neither chosen nor probed; each attempt counted by {@link #started} ends
 * exactly once. Not thread-safe: all calls are made under one lock.
 */
public final class Dispatcher {

  private final RandomGenerator random;
  private final RetryDelays delays;
  private final DispatchTargetTable targets = new DispatchTargetTable();
  private final ResponseTimeEstimates responseTimes = new ResponseTimeEstimates();
  private final ServiceRoundRobin roundRobin = new ServiceRoundRobin();
  private final RequestRate rate = new RequestRate();
  private final CollisionCounter collisions = new CollisionCounter();
  private final PreferredTargets preferred;
  private final ExpectedResponseTime expectedTimes;
  private final TargetRanking ranking;
  private final PlacementProbes probes;
  private final LimitedTargets limitedTargets;
  private final HomeRegions homes;
  private final TargetPlacement placement;
  private final PlannedStop stop;
  private final PlacementExplainer explainer;
  private final RequestForwarding forwarding;
  private final CrashDetection crashes;
  private final RetryBudgets retryBudgets;
  private final Admission admission;
  private final OrderedPlacement ordered;
  private final TargetResponses responses;
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
    this(preferences, DispatchPorts.ofSingleEntry(probeSender, leavingListener), random);
  }

  /** Creates a dispatcher without routes and targets. */
  public Dispatcher(DispatchPreferences preferences, DispatchPorts ports, RandomGenerator random) {
    admission = ports.admission();
    this.random = random;
    retryBudgets = new RetryBudgets(preferences);
    RetryAdvice advice = new RetryAdvice(random);
    stop = new PlannedStop(responseTimes, advice);
    expectedTimes = new ExpectedResponseTime(targets, preferences);
    preferred = new PreferredTargets(targets, preferences.dataCentre());
    ranking =
        new TargetRanking(targets, expectedTimes, responseTimes, preferences, preferred, random);
    delays = new RetryDelays(targets, ranking, advice, admission);
    probes =
        new PlacementProbes(
            ports.probes(),
            targets,
            ranking,
            new ProbeTokenBucket(preferences.probesPerTargetAndSecond()));
    limitedTargets = new LimitedTargets(ports.limits(), targets, ranking);
    homes = new HomeRegions(preferences, targets);
    ordered = new OrderedPlacement(admission, targets, ranking, probes, delays, limitedTargets);
    placement =
        new TargetPlacement(
            targets,
            homes,
            ranking,
            responseTimes,
            probes,
            advice,
            delays,
            limitedTargets,
            ordered);
    forwarding =
        new RequestForwarding(ports.forwarding(), targets, probes, () -> budgetShare, random);
    crashes = new CrashDetection(ports.suspects(), targets, probes, () -> budgetShare);
    responses =
        new TargetResponses(
            targets,
            limitedTargets,
            collisions,
            admission,
            forwarding,
            crashes,
            probes,
            ports.leaving());
    explainer =
        new PlacementExplainer(
            () -> routes,
            roundRobin,
            forwarding,
            targets,
            homes,
            ranking,
            responseTimes,
            limitedTargets,
            ordered);
  }

  /** Replaces the rule set. */
  public void applyRules(RuleSet rules) {
    routes = Optional.of(new RouteTable(rules));
    roundRobin.reset();
    admission.applyRules(rules);
  }

  /** Replaces the set of registered targets. */
  public void applyTargets(Collection<RegisteredTarget> registered, long nowNanos) {
    targets.apply(registered, nowNanos);
    hasTargets = true;
  }

  /** Replaces the set of data centres to whose targets nothing is sent, not even probes. */
  public void applyEvacuations(Set<String> dataCentres) {
    targets.evacuate(dataCentres);
  }

  /** Returns the preferred targets, which depend on the other entries. */
  public PreferredTargets preferred() {
    return preferred;
  }

  /** Returns the number of requests refused or reset by targets that had just reported a slot. */
  public long collisionCount() {
    return collisions.count();
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
    preferred.requestArrived(service, nowNanos);
    admission.arrived(service, responseTimes.nominalMillis(route));
    PlacementTicket ticket =
        new PlacementTicket(route, service, nowNanos, deadlineNanos, bodyBytes, schedulePlacement);
    if (homes.mayLeaveHome(route)) {
      ticket.forbidForwarding();
    }
    return ticket;
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
    admission.ended(ticket.route(), ticket.service(), false, nowNanos);
    return delays.afterRefusalMillis(ticket, nowNanos);
  }

  /** Returns the forwarding of requests to other entries. */
  public RequestForwarding forwarding() {
    return forwarding;
  }

  /** Returns the detection of requests that end targets. */
  public CrashDetection crashes() {
    return crashes;
  }

  /** Tries to choose a target or, for a request to be forwarded, an entry; may send probes. */
  public Placement place(PlacementTicket ticket, long nowNanos) {
    boolean maySend = stop.maySend(ticket, nowNanos);
    int entry = maySend ? forwarding.choose(ticket, nowNanos) : ForwardingTable.NONE;
    if (entry != ForwardingTable.NONE) {
      // The entry that sends it to targets counts it.
      retryBudgets.ofService(ticket.service()).forgetRequest(nowNanos);
      return new Placement.Chosen(entry);
    }
    Placement placed = maySend ? placement.place(ticket, budgetShare, nowNanos) : stop.refuse();
    if (placed instanceof Placement.Refused) {
      admission.ended(ticket.route(), ticket.service(), false, nowNanos);
    }
    return placed;
  }

  /** Returns the planned stop of this entry. */
  public PlannedStop stop() {
    return stop;
  }

  /** Returns the explanations of placements. */
  public PlacementExplainer explainer() {
    return explainer;
  }

  /**
   * Takes note of what a target announced in a response: its shutdown, a hold-off, a request limit
   * or a warm-up. The load report is not evaluated.
   */
  public void announced(int row, ResponseHead head, long nowNanos) {
    responses.announced(row, head, nowNanos);
  }

  /** Handles the request limit that a target named in the response to a served request, or none. */
  public void limitStated(int row, OptionalDouble requestsPerSecond, long nowNanos) {
    limitedTargets.stated(row, requestsPerSecond, nowNanos);
  }

  /** Returns the number of requests placed on targets that are limited or warm up. */
  public long limitedCount() {
    return limitedTargets.sentCount();
  }

  /** Records that an attempt was started on a target or forwarded to an entry. */
  public void started(int row) {
    if (RequestForwarding.isEntry(row)) {
      forwarding.started(row);
    } else {
      targets.attemptStarted(row);
      preferred.attemptStarted(row);
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
    admission.ended(ticket.route(), ticket.service(), true, nowNanos);
    responseTimes.recordResponseTime(ticket.route(), elapsedNanos);
    if (wasAtNominalSpeed) {
      responseTimes.recordAnswer(ticket.route(), elapsedNanos);
    }
  }

  /** Records an attempt that ended without a response, since its connection failed. */
  public void connectionFailed(int row, long nowNanos) {
    failed(row, nowNanos);
    if (!RequestForwarding.isEntry(row)) {
      collisions.refused(row, nowNanos);
      forwarding.targetFailed(row, nowNanos);
    }
  }

  /** Records an attempt that its target turned away without running it. */
  public void turnedAway(int row, long nowNanos) {
    collisions.refused(row, nowNanos);
    failed(row, nowNanos);
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
    responses.loadReported(row, report, nowNanos);
  }

  /** Handles the end of a probe. */
  public void probeEnded(int row, ProbeResult result, long nowNanos) {
    responses.probeEnded(row, result, nowNanos);
  }

  /** Handles the end of a probe; without a {@code head} the target did not answer in time. */
  public void probeEnded(int row, boolean healthy, Optional<ResponseHead> head, long nowNanos) {
    responses.probeEnded(row, healthy, head, nowNanos);
  }

  /** Returns the numbers of requests that yielded or were refused under pressure. */
  public OrderCounts orderCounts() {
    return ordered.counts();
  }

  /** Returns the timeout of a probe, in ms. */
  public static long probeTimeoutMillis() {
    return TimeUnit.NANOSECONDS.toMillis(TargetPlacement.PROBE_TIMEOUT_NANOS);
  }
}
