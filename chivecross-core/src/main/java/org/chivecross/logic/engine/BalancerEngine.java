package org.chivecross.logic.engine;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chivecross.logic.balance.CandidateSystem;
import org.chivecross.logic.balance.Candidates;
import org.chivecross.logic.balance.LoadSystem;
import org.chivecross.logic.balance.LowestScorePolicy;
import org.chivecross.logic.balance.ReportTrustSystem;
import org.chivecross.logic.balance.ReportedLoadScore;
import org.chivecross.logic.balance.ScorePreferences;
import org.chivecross.logic.balance.SharedRandom;
import org.chivecross.logic.balance.TargetPolicy;
import org.chivecross.logic.balance.TargetPolicyFactory;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.leaving.LeavingSystem;
import org.chivecross.logic.limit.SharedAdmission;
import org.chivecross.logic.outlier.OutlierSystem;
import org.chivecross.logic.probe.Probe;
import org.chivecross.logic.probe.ProbeCost;
import org.chivecross.logic.probe.ProbeSystem;
import org.chivecross.logic.request.RequestPolicies;
import org.chivecross.logic.retry.BudgetedRetryControl;
import org.chivecross.logic.retry.LatencySystem;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.table.LatencyTable;
import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetTable;

/**
 * Facade of the load-balancing decisions of one entry: the tables, the systems that update them in
 * each tick, and the policies that the request path calls.
 *
 * <p>Thread safety: {@link #apply}, {@link #tick}, {@link #takeProbes} and {@link #probeEnded} are
 * called by one thread at a time, the tick about every 5 ms. Everything that {@link #policies}
 * returns and all read-only views are safe for use by many threads; the request path takes no
 * locks.
 */
public final class BalancerEngine {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EnginePreferences preferences;
  private final TargetTable targets;
  private final ServiceTable services;
  private final ServiceTable tenants;
  private final LatencyTable latencies;
  private final LatencySystem latencySystem;
  private final SharedAdmission admission;
  private final BudgetedRetryControl retries;
  private final TargetPolicy policy;
  private final LeavingSystem leaving;
  private final OutlierSystem outliers;
  private final CandidateSystem candidateSystem;
  private final LoadSystem loads;
  private final ReportTrustSystem reportTrust;
  private final UpdateSchedule updateSchedule;
  private final ProbePlanner probes;
  private final FileSetApplier applier;
  private final EngineReport report;
  private final RowCollector targetRows;
  private final RowCollector serviceRows;
  private final RowCollector tenantRows;
  private volatile Topology topology = Topology.EMPTY;
  private volatile Candidates[] candidates;

  /** Creates an engine with the default target policy. */
  public BalancerEngine(EnginePreferences preferences, RandomGenerator random) {
    this(preferences, random, BalancerEngine::defaultPolicy);
  }

  /**
   * Creates an engine without any service.
   *
   * @param random seeds all random numbers of the engine
   * @param policyFactory creates the target policy
   */
  public BalancerEngine(
      EnginePreferences preferences, RandomGenerator random, TargetPolicyFactory policyFactory) {
    this.preferences = preferences;
    int capacity = preferences.serviceCapacity();
    targets = new TargetTable(preferences.targetCapacity());
    services = new ServiceTable(capacity);
    tenants = new ServiceTable(capacity);
    latencies = new LatencyTable(capacity);
    latencySystem = new LatencySystem(latencies, capacity);
    admission =
        new SharedAdmission(
            services, tenants, new SharedRandom(random.nextLong()), preferences.concurrency());
    retries =
        new BudgetedRetryControl(
            capacity, new SharedRandom(random.nextLong()), latencySystem, targets::service);
    policy = policyFactory.create(targets, services, new SharedRandom(random.nextLong()));
    updateSchedule = new UpdateSchedule(preferences.serviceCapacity());
    leaving = new LeavingSystem(targets.leaving(), targets.health());
    outliers = new OutlierSystem(targets.health());
    candidateSystem = new CandidateSystem(targets);
    loads = new LoadSystem(targets, services);
    reportTrust = new ReportTrustSystem(targets, services);
    ProbeSystem probeSystem = new ProbeSystem(preferences.targetCapacity());
    probes = new ProbePlanner(targets, services, probeSystem);
    applier = new FileSetApplier(preferences.dataCentre(), targets, services, tenants, probeSystem);
    report = new EngineReport(targets, services, candidateSystem);
    targetRows = new RowCollector(targets.loads()::inFlight, targets::release);
    serviceRows = new RowCollector(services::inFlight, services::release);
    tenantRows = new RowCollector(tenants::inFlight, tenants::release);
    candidates = new Candidates[capacity];
    Arrays.fill(candidates, Candidates.EMPTY);
  }

  /** Creates the default target policy. */
  public static TargetPolicy defaultPolicy(
      TargetTable targets, ServiceTable services, SharedRandom random) {
    return new LowestScorePolicy(
        new ReportedLoadScore(targets, services, ScorePreferences.DEFAULT),
        random,
        LowestScorePolicy.MAX_EXAMINED);
  }

  /**
   * Puts a validated file set in force. The counters of targets, services and tenants that are also
   * in the new file set are kept.
   *
   * @throws IllegalStateException when the set has more targets or services than the tables hold
   */
  public void apply(FileSet set, long nowNanos) {
    Topology next = applier.apply(set, nowNanos);
    admission.apply(next.limits());
    retries.apply(next.classPolicies());
    targetRows.markUnused(targets.liveRows(), next.targetRows().values(), nowNanos);
    serviceRows.markUnused(
        services.liveRows(), next.plans().stream().map(ServicePlan::row).toList(), nowNanos);
    tenantRows.markUnused(
        tenants.liveRows(),
        set.tenants().stream().map(t -> tenants.acquire(t.name())).toList(),
        nowNanos);
    Candidates[] all = new Candidates[candidates.length];
    Arrays.fill(all, Candidates.EMPTY);
    updateCandidates(next.plans(), all, nowNanos);
    candidates = all;
    topology = next;
    probes.start(nowNanos);
  }

  /**
   * Runs all systems and publishes the updated candidates. When there are many targets, the
   * services are updated in rotation, see {@link UpdateSchedule}.
   */
  public void tick(long nowNanos) {
    Topology current = topology;
    List<ServicePlan> due = updateSchedule.startTick(current.plans());
    for (ServicePlan plan : due) {
      outliers.tick(plan.targets(), nowNanos);
    }
    Candidates[] next = candidates.clone();
    if (updateCandidates(due, next, nowNanos)) {
      candidates = next;
    }
    for (ServicePlan plan : due) {
      loads.tick(plan.row(), next[plan.row()], updateSchedule.markUpdated(plan), nowNanos);
      reportTrust.tick(plan.row(), next[plan.row()], nowNanos);
    }
    latencySystem.tick(current.rows(), current.hedgeFractions());
    targetRows.collect(nowNanos);
    serviceRows.collect(nowNanos);
    tenantRows.collect(nowNanos);
  }

  /** Returns the policies for the request path. */
  public RequestPolicies policies(KeyRegistry keys) {
    return new RequestPolicies(
        this::route,
        admission,
        this::select,
        new TableObserver(targets, services, latencies, leaving),
        retries,
        keys);
  }

  /** Returns the probes to send now; {@link #probeEnded} must be called for each of them. */
  public List<Probe> takeProbes(long nowNanos) {
    return probes.takeDue(topology, nowNanos);
  }

  /**
   * A probe ended.
   *
   * @param target row of the target
   * @param answer its health report; empty if none arrived in time
   * @param startNanos time at which the probe was sent
   * @param bytes bytes sent and received
   */
  public void probeEnded(
      int target, Optional<HealthReport> answer, long startNanos, long bytes, long nowNanos) {
    boolean inTime = probes.end(target, bytes, nowNanos);
    if (!inTime || answer.isEmpty()) {
      return;
    }
    healthReported(target, answer.get(), startNanos, nowNanos);
  }

  /**
   * The health endpoint of a target answered.
   *
   * @param startNanos time at which the report was requested; it overrides evidence of leaving that
   *     is older
   */
  public void healthReported(int target, HealthReport health, long startNanos, long nowNanos) {
    leaving.healthReported(target, health.leaving(), startNanos);
    health.load().ifPresent((LoadReport load) -> targets.loads().report(target, load, nowNanos));
  }

  /** Returns the cost of all probes so far and the budget for it. */
  public ProbeCost probeCost(long nowNanos) {
    return probes.cost(topology, nowNanos);
  }

  /** Returns the system that collects evidence of leaving targets. */
  public LeavingSystem leaving() {
    return leaving;
  }

  /**
   * The platform listed a VM. Safe for use by many threads.
   *
   * @param ip IP address of the VM
   * @param isLeaving whether it is listed as leaving
   */
  public void vmListed(String ip, boolean isLeaving, long nowNanos) {
    topology.targetRowsAt(ip).forEach(row -> leaving.listed(row, isLeaving, nowNanos));
  }

  /** Returns the targets that this entry considers leaving, to be sent to other entries. */
  public List<LeavingMark> leavingMarks(long nowNanos) {
    return report.leavingMarks(topology, nowNanos);
  }

  /** Merges the leaving marks received from another entry; unknown addresses are ignored. */
  public void mergeLeavingMarks(List<LeavingMark> marks, long nowNanos) {
    for (LeavingMark mark : marks) {
      int row = topology.targetRow(mark.target());
      if (row != TargetSelector.NONE) {
        leaving.reportedByPeer(row, nowNanos - mark.ageMillis() * NANOS_PER_MILLI);
      }
    }
  }

  /** Returns {@code ip:port} of a target. */
  public String address(int targetRow) {
    return targets.address(targetRow);
  }

  /** Returns the row of a target, or {@link TargetSelector#NONE} when it belongs to no service. */
  public int targetRow(String address) {
    return topology.targetRow(address);
  }

  /** Returns the name of a service. */
  public String serviceName(int serviceRow) {
    return services.name(serviceRow);
  }

  /** Returns the row of a service, or empty when the file set has no service of that name. */
  public Optional<Integer> serviceRow(String name) {
    return topology.serviceRow(name);
  }

  /** Returns the name of the tenant that owns a service, or empty when the row has no service. */
  public Optional<String> tenantName(int serviceRow) {
    return topology.plan(serviceRow).map(ServicePlan::tenant);
  }

  /** Returns the name of the entry that this engine belongs to. */
  public String entryId() {
    return preferences.entryId();
  }

  /** Returns the status of each target, with every reason for a reduced weight. */
  public List<TargetStatus> targetStatuses(long nowNanos) {
    return report.targets(topology, nowNanos);
  }

  /** Returns the status of each service of the file set in force. */
  public List<ServiceStatus> serviceStatuses() {
    return report.services(topology, candidates);
  }

  private boolean updateCandidates(List<ServicePlan> plans, Candidates[] views, long nowNanos) {
    boolean changed = false;
    for (ServicePlan plan : plans) {
      Candidates old = views[plan.row()];
      Candidates next =
          candidateSystem.candidates(plan.targets(), plan.extraRoundTripNanos(), old, nowNanos);
      changed |= next != old;
      views[plan.row()] = next;
    }
    return changed;
  }

  private Optional<Route> route(String method, String host, String path) {
    return topology.router().route(method, host, path);
  }

  private int select(int service, RequestClass requestClass, int excludedTarget, long nowNanos) {
    Candidates[] current = candidates;
    if (service < 0 || service >= current.length || current[service].size() == 0) {
      return TargetSelector.NONE;
    }
    return policy.choose(current[service], excludedTarget, nowNanos);
  }
}
