package org.chivecross.logic.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;

/**
 * Places requests on targets. The load of targets shifts within milliseconds, so a target is chosen
 * by reports that were asked for by the very request that needs them.
 *
 * <p>Invariants: a target that is leaving or not registered is never chosen; each start that is
 * counted by {@link #started} is ended once. Not thread-safe: all calls are made under one lock.
 */
public final class Dispatcher {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** Age up to which a report is used without asking again; much less than a phase of slowness. */
  private static final long FRESH_REPORT_NANOS = 25 * NANOS_PER_MILLI;

  /** Time after which a probe counts as lost; a healthy target answers at once. */
  private static final long PROBE_TIMEOUT_NANOS = 60 * NANOS_PER_MILLI;

  /** Targets asked in one round: two give a good choice, more cost the targets time. */
  private static final int PROBES_PER_ROUND = 2;

  /** Rounds after which the best target so far is judged, whatever it is. */
  private static final int MAX_PROBE_ROUNDS = 3;

  /** Pause after which busy targets are asked again, a fraction of a phase of slowness. */
  private static final long REPROBE_DELAY_NANOS = 30 * NANOS_PER_MILLI;

  /**
   * Part of the latency objective for which a request waits for a target that serves it in time.
   */
  private static final double QUEUE_TIMEOUT_FRACTION = 0.25;

  /** Part of the time left that a target may be expected to need. */
  private static final double USABLE_TIME_FRACTION = 0.85;

  private final DispatchPreferences preferences;
  private final ProbeSender probes;
  private final RandomGenerator random;
  private final RetryAdvice advice;
  private final DispatchTargetTable targets = new DispatchTargetTable();
  private final ResponseTimeEstimates responseTimes = new ResponseTimeEstimates();
  private final ServiceRoundRobin roundRobin = new ServiceRoundRobin();
  private final RequestRate rate = new RequestRate();
  private final ExpectedResponseTime expectedTimes;
  private final TargetRanking ranking;
  private final ProbeTokenBucket probeTokens;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private final Map<Integer, Set<PlacementTicket>> ticketsByProbedRow = new HashMap<>();
  private Optional<RouteTable> routes = Optional.empty();
  private boolean hasTargets;
  private double budgetShare = 1;
  private int budgetEntries;

  /** Creates a dispatcher that knows no route and no target. */
  public Dispatcher(DispatchPreferences preferences, ProbeSender probes, RandomGenerator random) {
    this.preferences = preferences;
    this.probes = probes;
    this.random = random;
    advice = new RetryAdvice(random);
    expectedTimes = new ExpectedResponseTime(targets, preferences);
    ranking = new TargetRanking(targets, expectedTimes, responseTimes, preferences, random);
    probeTokens = new ProbeTokenBucket(preferences.probesPerTargetAndSecond());
  }

  /** Puts a rule set in force. */
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
   * Tells this entry's part of the budgets that all entries share.
   *
   * @param part part of the requests, from 0 to 1
   * @param entries entries that share the budgets; 0 when not known
   */
  public void setBudgetShare(double part, int entries) {
    budgetShare = part;
    budgetEntries = entries;
  }

  /** Returns the requests that this entry takes in a second, a mean over some seconds. */
  public double requestsPerSecond(long nowNanos) {
    return rate.perSecond(nowNanos);
  }

  /** Returns whether rules are in force. */
  public boolean hasRules() {
    return routes.isPresent();
  }

  /** Returns whether the targets are known, even if there are none. */
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

  /** Returns the most connections that this entry may have to a target. */
  public int connectionLimit(int row) {
    String service = targets.target(row).map(RegisteredTarget::service).orElse("");
    int accepted = routes.map(table -> table.maxConnections(service)).orElse(0);
    return ConnectionShare.limit(accepted, budgetEntries, budgetShare);
  }

  /** Returns the number of targets that may be used. */
  public int usableTargets() {
    return targets.usableCount();
  }

  /**
   * Starts to look for a target.
   *
   * @param wake asks for another call of {@link #place}
   */
  public PlacementTicket open(
      RouteRule route, long deadlineNanos, long bodyBytes, Runnable wake, long nowNanos) {
    rate.count(nowNanos);
    String service = roundRobin.next(route, random.nextDouble());
    retryBudget(service).recordRequest(nowNanos);
    return new PlacementTicket(route, service, nowNanos, deadlineNanos, bodyBytes, wake);
  }

  /** Takes a send beyond the first from the budget; false when it is used up. */
  public boolean tryTakeRetry(PlacementTicket ticket, long nowNanos) {
    return retryBudget(ticket.service()).tryTake(budgetShare, nowNanos);
  }

  /** Starts to look for another target than those that were tried. */
  public void placeAgain(PlacementTicket ticket, long nowNanos) {
    ticket.placeAgain(nowNanos);
  }

  /**
   * Returns when another try of a request that a target turned away is likely to succeed, in ms:
   * soon while another target has room, else when about half of the backlog is done.
   */
  public long retryAfterMillis(PlacementTicket ticket, long nowNanos) {
    int[] rows = targets.usableRows(ticket.service());
    if (targets.hasFreeSlot(rows)) {
      return advice.soonMillis();
    }
    int best = ranking.bestByRecentReports(ticket, rows, nowNanos);
    return advice.afterBacklogMillis(expectedMillis(ticket, best, nowNanos));
  }

  /** Looks for a target; may send probes. */
  public Placement place(PlacementTicket ticket, long nowNanos) {
    int[] rows = targets.usableRows(ticket.service());
    if (rows.length == 0) {
      return refuse("no usable target of " + ticket.service(), advice.maxMillis());
    }
    double usual = responseTimes.nominalMillis(ticket.route());
    double leftMillis = (ticket.deadlineNanos() - nowNanos) / (double) NANOS_PER_MILLI;
    if (leftMillis < usual / 2) {
      return refuse("too little time left for a target", advice.soonMillis());
    }
    int best = ranking.best(ticket, rows, FRESH_REPORT_NANOS, nowNanos);
    if (ranking.isGoodEnough(ticket, best, rows, nowNanos)) {
      return choose(ticket, best);
    }
    if (ticket.hasOutstandingProbes()) {
      return new Placement.Pending(nowNanos + PROBE_TIMEOUT_NANOS);
    }
    if (ticket.probeRounds() < MAX_PROBE_ROUNDS && startProbeRound(ticket, rows, nowNanos)) {
      return new Placement.Pending(nowNanos + PROBE_TIMEOUT_NANOS);
    }
    return placeAfterProbing(ticket, ranking.bestByRecentReports(ticket, rows, nowNanos), nowNanos);
  }

  /** All rounds are over; takes the best target, waits or gives up. */
  private Placement placeAfterProbing(PlacementTicket ticket, int best, long nowNanos) {
    double bestMillis = expectedMillis(ticket, best, nowNanos);
    double leftMillis = (ticket.deadlineNanos() - nowNanos) / (double) NANOS_PER_MILLI;
    double waited = (nowNanos - ticket.placingSinceNanos()) / (double) NANOS_PER_MILLI;
    double objective = ticket.route().latencyObjectiveMillis();
    double untilObjective =
        objective - (nowNanos - ticket.arrivedNanos()) / (double) NANOS_PER_MILLI;
    boolean patient = waited < QUEUE_TIMEOUT_FRACTION * objective;
    if (best != DispatchTargetTable.NONE && bestMillis <= untilObjective * USABLE_TIME_FRACTION) {
      return choose(ticket, best);
    }
    if (best != DispatchTargetTable.NONE && !patient && bestMillis <= leftMillis * USABLE_TIME_FRACTION) {
      return choose(ticket, best);
    }
    if (!patient) {
      boolean slowOnly = targets.hasFreeSlot(targets.usableRows(ticket.service()));
      return refuse(
          "all targets of " + ticket.service() + (slowOnly ? " are slow" : " are busy"),
          slowOnly ? advice.nextPhaseMillis() : advice.afterBacklogMillis(bestMillis));
    }
    ticket.restartProbeRounds();
    return new Placement.Pending(nowNanos + REPROBE_DELAY_NANOS);
  }

  /** An attempt was given to a target. */
  public void started(int row) {
    targets.attemptStarted(row);
  }

  /** An attempt ended without telling anything about the target. */
  public void abandoned(int row) {
    targets.attemptEnded(row);
  }

  /**
   * A target answered.
   *
   * @param usualPace what {@link #isAtNominalSpeed} said when it was chosen
   */
  public void served(
      PlacementTicket ticket, int row, long elapsedNanos, boolean usualPace, long nowNanos) {
    targets.attemptEnded(row);
    targets.served(row, nowNanos);
    if (usualPace) {
      responseTimes.recordAnswer(ticket.route(), elapsedNanos);
    }
  }

  /** An attempt failed through the target. */
  public void failed(int row, long nowNanos) {
    targets.attemptEnded(row);
    targets.failed(row, 1, nowNanos);
  }

  /** Returns whether a target has room and works at usual speed, as it last reported. */
  public boolean isAtNominalSpeed(int row, long nowNanos) {
    return expectedTimes.isAtNominalSpeed(row, nowNanos);
  }

  /** Returns what is known of the target of a row. */
  public DispatchEvent.TargetLoad targetLoad(int row, long nowNanos) {
    return targets.load(row, nowNanos);
  }

  /** Returns the number of targets of a request's service that may be used. */
  public int usableTargets(PlacementTicket ticket) {
    return targets.usableRows(ticket.service()).length;
  }

  /** Returns the time that an answer of a target is expected to take, in ms. */
  public double expectedMillis(PlacementTicket ticket, int row, long nowNanos) {
    return ranking.expectedMillis(ticket, row, nowNanos);
  }

  /** A target told its load with an answer. */
  public void loadReported(int row, LoadReport report, long nowNanos) {
    targets.report(row, report, nowNanos);
  }

  /**
   * A probe ended.
   *
   * @param healthy whether the target answered that it is well
   * @param report its load; empty when it told none or didn't answer in time
   */
  public void probeEnded(int row, boolean healthy, Optional<LoadReport> report, long nowNanos) {
    targets.setProbing(row, false);
    report.ifPresent(load -> targets.report(row, load, nowNanos));
    if (!healthy) {
      targets.failed(row, 1, nowNanos);
    }
    Set<PlacementTicket> waiting = ticketsByProbedRow.remove(row);
    if (waiting != null) {
      waiting.forEach(ticket -> ticket.probeEnded(row));
    }
  }

  /** Returns the time within which a probe must be answered, in ms. */
  public static long probeTimeoutMillis() {
    return PROBE_TIMEOUT_NANOS / NANOS_PER_MILLI;
  }

  /** Asks more targets for their load; false when there is none left to ask. */
  private boolean startProbeRound(PlacementTicket ticket, int[] rows, long nowNanos) {
    int sent = 0;
    while (sent < PROBES_PER_ROUND) {
      int row = ranking.nextToProbe(ticket, rows, nowNanos);
      if (row == DispatchTargetTable.NONE) {
        break;
      }
      if (!targets.isProbing(row)) {
        if (!probeTokens.tryTake(targets.usableCount(), budgetShare, nowNanos)) {
          break;
        }
        targets.setProbing(row, true);
        probes.send(row);
      }
      ticket.probeSent(row);
      ticketsByProbedRow.computeIfAbsent(row, r -> new HashSet<>()).add(ticket);
      sent++;
    }
    if (sent > 0) {
      ticket.probeRoundStarted();
    }
    return sent > 0;
  }

  private Placement choose(PlacementTicket ticket, int row) {
    ticket.markTried(row);
    return new Placement.Chosen(row);
  }

  private Placement refuse(String detail, long retryAfterMillis) {
    return new Placement.Refused(
        new Failure(Step.SELECT_TARGET, Failure.LOCAL, detail), retryAfterMillis);
  }

  private RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name ->
            new RetryBudget(
                preferences.retryBudgetRatio(),
                preferences.retryBudgetFixed(),
                preferences.retryBudgetWindowNanos()));
  }
}
