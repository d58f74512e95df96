package org.chivecross.cli.experiment.speed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.chivecross.cli.experiment.NoKeys;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.engine.EnginePreferences;
import org.chivecross.logic.limit.AdmissionControl.Verdict;
import org.chivecross.logic.request.RequestPolicies;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Limits;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Rule;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.chivecross.model.fileset.Tenant;
import org.chivecross.model.request.LoadReport;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Benchmark of one decision and of one tick with 260 services and 2,800 targets. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionBenchmark {

  private static final int SERVICES = 260;
  private static final int TARGETS = 2800;
  private static final int TENANTS = 20;
  private static final int SLOTS = 4;
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long DECISION_INTERVAL_NANOS = 2_500;
  private static final long LATENCY_NANOS = 5_000_000;

  /** Limits high enough to refuse no request. */
  private static final Limits NON_BINDING_LIMITS =
      new Limits(10_000_000, 2_000_000_000, 1_000_000_000);

  private BalancerEngine engine = newEngine();
  private RequestPolicies policies = engine.policies(NoKeys.create());
  private String[] paths = new String[0];
  private long nowNanos = SECOND_NANOS;
  private int serviceRow;

  /** Creates the engine and records a load report for each target. */
  @Setup
  public void setUp() {
    engine = newEngine();
    policies = engine.policies(NoKeys.create());
    FileSet set = fileSet();
    engine.apply(set, 0);
    paths = new String[SERVICES];
    SplittableRandom random = new SplittableRandom(1);
    for (int s = 0; s < SERVICES; s++) {
      paths[s] = "/service-" + s + "/slots/today";
    }
    engine
        .targetStatuses(nowNanos)
        .forEach(
            target -> {
              LoadReport report = new LoadReport(random.nextInt(SLOTS + 1), 0, SLOTS);
              policies.observer().attemptStarted(target.row(), nowNanos);
              policies.observer().loadReported(target.row(), report, nowNanos);
              policies.observer().attemptEnded(target.row(), LATENCY_NANOS, true, nowNanos);
            });
    engine.tick(nowNanos);
  }

  /** Admission and target selection, with the end of the attempt and the release of the request. */
  @Benchmark
  public int admitAndSelect() {
    nowNanos += DECISION_INTERVAL_NANOS;
    serviceRow = (serviceRow + 1) % SERVICES;
    return decide(serviceRow);
  }

  /** Routing, then the same as {@link #admitAndSelect}. */
  @Benchmark
  public int routeAdmitAndSelect() {
    nowNanos += DECISION_INTERVAL_NANOS;
    serviceRow = (serviceRow + 1) % SERVICES;
    Route route = policies.router().route("GET", "board.example", paths[serviceRow]).orElseThrow();
    return decide(route.service());
  }

  /** One tick over all tables. */
  @Benchmark
  public void tick() {
    nowNanos += 5 * SECOND_NANOS / 1000;
    engine.tick(nowNanos);
  }

  private int decide(int service) {
    RequestClass read = RequestClass.READ;
    Verdict verdict = policies.admission().admit(service, read, nowNanos + SECOND_NANOS, nowNanos);
    if (verdict != Verdict.ADMITTED) {
      throw new IllegalStateException("refused: " + verdict);
    }
    int target = policies.selector().select(service, read, TargetSelector.NONE, nowNanos);
    policies.observer().attemptStarted(target, nowNanos);
    policies.observer().attemptEnded(target, LATENCY_NANOS, true, nowNanos);
    policies.retries().succeeded(service, read, nowNanos);
    policies.admission().release(service, read, nowNanos);
    return target;
  }

  private static BalancerEngine newEngine() {
    return new BalancerEngine(EnginePreferences.of("entry-1", "dc-1"), new SplittableRandom(1));
  }

  private static FileSet fileSet() {
    List<Service> services = new ArrayList<>();
    List<Rule> rules = new ArrayList<>();
    List<Tenant> tenants = new ArrayList<>();
    for (int t = 0; t < TENANTS; t++) {
      tenants.add(new Tenant("tenant-" + t, 1, NON_BINDING_LIMITS));
    }
    int createdTargets = 0;
    for (int s = 0; s < SERVICES; s++) {
      int endTarget = (s + 1) * TARGETS / SERVICES;
      List<String> addresses = new ArrayList<>();
      for (; createdTargets < endTarget; createdTargets++) {
        addresses.add("10.0." + createdTargets / 250 + "." + createdTargets % 250 + ":8080");
      }
      services.add(service(s, addresses));
      rules.add(new Rule("*", "/service-" + s, Set.of("GET"), "service-" + s, RequestClass.READ));
    }
    Deployment deployment = new Deployment("speed", 20, 5000, 60_000, List.of("dc-1"), List.of());
    return new FileSet(deployment, tenants, services, rules);
  }

  private static Service service(int number, List<String> addresses) {
    return new Service(
        "service-" + number,
        "tenant-" + number % TENANTS,
        0.02,
        6,
        16,
        NON_BINDING_LIMITS,
        Map.of(RequestClass.READ, new ClassPolicy(2000, 0.1, 0.02)),
        List.of(new TargetGroup("dc-1", SLOTS, 300, addresses)));
  }
}
