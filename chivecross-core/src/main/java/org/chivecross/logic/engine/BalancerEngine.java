package org.chivecross.logic.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chivecross.logic.balance.Candidates;
import org.chivecross.logic.balance.LoadSystem;
import org.chivecross.logic.balance.SharedRandom;
import org.chivecross.logic.balance.TargetPolicy;
import org.chivecross.logic.balance.TargetPolicyFactory;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.balance.TwoChoicesPolicy;
import org.chivecross.logic.balance.UpstreamObserver;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.limit.SharedAdmission;
import org.chivecross.logic.request.RequestPolicies;
import org.chivecross.logic.retry.BudgetedRetryControl;
import org.chivecross.logic.routing.RequestRouter;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetTable;

/**
 * The balancing decisions of one entry: tables, the systems that run over them each tick, and the
 * policies that the request path asks.
 *
 * <p>Thread safety: {@link #apply} and {@link #tick} are called by one thread at a time, the tick
 * about every 5 ms. Everything that {@link #policies} returns and all read-only views are safe for
 * use by many threads; the request path takes no locks.
 */
public final class BalancerEngine {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EnginePreferences preferences;
  private final TargetTable targets;
  private final ServiceTable services;
  private final ServiceTable tenants;
  private final SharedAdmission admission;
  private final BudgetedRetryControl retries;
  private final TargetPolicy policy;
  private final FileSetApplier applier;
  private final LoadSystem loads;
  private volatile Topology topology = Topology.EMPTY;
  private volatile Candidates[] candidates = new Candidates[0];

  /** Creates an engine with the default choice of targets. */
  public BalancerEngine(EnginePreferences preferences, RandomGenerator random) {
    this(preferences, random, (table, names, numbers) -> new TwoChoicesPolicy(table, numbers));
  }

  /**
   * Creates an engine without any service.
   *
   * @param random seeds all random numbers of the engine
   * @param policyFactory creates the choice of targets
   */
  public BalancerEngine(
      EnginePreferences preferences, RandomGenerator random, TargetPolicyFactory policyFactory) {
    this.preferences = preferences;
    targets = new TargetTable(preferences.targetCapacity());
    services = new ServiceTable(preferences.serviceCapacity());
    tenants = new ServiceTable(preferences.serviceCapacity());
    admission = new SharedAdmission(services, tenants);
    retries =
        new BudgetedRetryControl(
            preferences.serviceCapacity(), new SharedRandom(random.nextLong()));
    policy = policyFactory.create(targets, services, new SharedRandom(random.nextLong()));
    loads = new LoadSystem(targets, services);
    applier = new FileSetApplier(targets, services, tenants);
  }

  /**
   * Puts a checked file set in force. Counters of targets, services and tenants that stay are kept.
   *
   * @throws IllegalStateException when the set has more targets or services than the tables hold
   */
  public void apply(FileSet set, long nowNanos) {
    Topology next = applier.apply(set, nowNanos);
    admission.apply(next.limits());
    retries.apply(next.classPolicies());
    candidates = candidatesOf(next);
    topology = next;
  }

  /** Runs all systems over the tables and publishes new views. */
  public void tick(long nowNanos) {
    applier.releaseUnused(nowNanos);
    loads.tick(candidates, nowNanos);
  }

  /** Returns the policies that the request path asks. */
  public RequestPolicies policies(KeyRegistry keys) {
    RequestRouter router = this::route;
    TargetSelector selector = this::select;
    UpstreamObserver observer = new TableObserver(targets, services);
    return new RequestPolicies(router, admission, selector, observer, retries, keys);
  }

  /** Returns {@code ip:port} of a target. */
  public String address(int targetRow) {
    return targets.address(targetRow);
  }

  /** Returns the row of a target, or {@link TargetSelector#NONE} when no service has it. */
  public int targetRow(String address) {
    return topology.targetRow(address);
  }

  /** Returns the name of a service. */
  public String serviceName(int serviceRow) {
    return services.name(serviceRow);
  }

  /** Returns the row of a service, or empty when the file set has none of that name. */
  public Optional<Integer> serviceRow(String name) {
    return topology.serviceRow(name);
  }

  /** Returns the name of the tenant that owns a service, or empty when the row has no service. */
  public Optional<String> tenantName(int serviceRow) {
    return topology.tenantName(serviceRow);
  }

  /** Returns the name of the entry that this engine decides for. */
  public String entryId() {
    return preferences.entryId();
  }

  /** Returns each target with every reason for its weight, by row. */
  public List<TargetStatus> targetStatuses(long nowNanos) {
    List<TargetStatus> statuses = new ArrayList<>();
    for (Map.Entry<String, Integer> target : topology.targetRows().entrySet()) {
      statuses.add(status(target.getKey(), target.getValue(), nowNanos));
    }
    return statuses;
  }

  /** Returns each service of the file set in force. */
  public List<ServiceStatus> serviceStatuses() {
    List<ServiceStatus> statuses = new ArrayList<>();
    Topology current = topology;
    Candidates[] usable = candidates;
    for (Map.Entry<String, Integer> service : current.serviceRows().entrySet()) {
      int row = service.getValue();
      statuses.add(
          new ServiceStatus(
              row,
              service.getKey(),
              current.tenantName(row).orElse(""),
              services.inFlight(row),
              current.targetsOf(row).length,
              usable[row].size()));
    }
    return statuses;
  }

  private Candidates[] candidatesOf(Topology next) {
    Candidates[] all = new Candidates[services.capacity()];
    Arrays.fill(all, Candidates.EMPTY);
    for (int service : next.serviceRows().values()) {
      int[] rows = next.targetsOf(service);
      int[] slots = new int[rows.length];
      for (int i = 0; i < rows.length; i++) {
        slots[i] = targets.slots(rows[i]);
      }
      all[service] = new Candidates(rows, slots);
    }
    return all;
  }

  private TargetStatus status(String address, int row, long nowNanos) {
    long reported = targets.reportNanos(row);
    long ageMillis =
        reported == TargetTable.NEVER ? -1 : Math.max(0, nowNanos - reported) / NANOS_PER_MILLI;
    return new TargetStatus(
        row,
        address,
        services.name(targets.service(row)),
        targets.dataCentre(row),
        targets.inFlight(row),
        new LoadReport(
            targets.reportedInService(row), targets.reportedQueued(row), targets.slots(row)),
        ageMillis,
        targets.successes(row),
        targets.failures(row),
        1.0,
        List.of());
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
