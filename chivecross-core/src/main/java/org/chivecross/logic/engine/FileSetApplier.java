package org.chivecross.logic.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.chivecross.logic.limit.AdmissionView;
import org.chivecross.logic.limit.LimitShare;
import org.chivecross.logic.probe.ProbeBudget;
import org.chivecross.logic.probe.ProbeSystem;
import org.chivecross.logic.retry.BudgetedRetryControl;
import org.chivecross.logic.routing.RuleRouter;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.DataCentreLink;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.chivecross.model.fileset.Tenant;
import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetTable;
import org.jspecify.annotations.Nullable;

/**
 * Resolves the names of a file set to rows of the tables. Names that are also in the new file set
 * keep their rows and live columns. A target that joins a running service enters slow start.
 *
 * <p>Not thread-safe: the engine calls it from one thread at a time.
 */
final class FileSetApplier {

  private static final long NANOS_PER_MICRO = 1_000;

  private final String dataCentre;
  private final TargetTable targets;
  private final ServiceTable services;
  private final ServiceTable tenants;
  private final ProbeSystem probes;

  FileSetApplier(
      String dataCentre,
      TargetTable targets,
      ServiceTable services,
      ServiceTable tenants,
      ProbeSystem probes) {
    this.dataCentre = dataCentre;
    this.targets = targets;
    this.services = services;
    this.tenants = tenants;
    this.probes = probes;
  }

  /**
   * Resolves a file set.
   *
   * @throws IllegalStateException when a table is full
   */
  Topology apply(FileSet set, long nowNanos) {
    Map<String, Integer> targetRows = new HashMap<>();
    List<ServicePlan> plans = new ArrayList<>();
    @Nullable ClassPolicy[] policies =
        new ClassPolicy[services.capacity() * RequestClass.values().length];
    for (Tenant tenant : set.tenants()) {
      tenants.acquire(tenant.name());
    }
    for (Service service : set.services()) {
      ServicePlan plan = plan(service, set, targetRows, nowNanos);
      plans.add(plan);
      for (Map.Entry<RequestClass, ClassPolicy> policy : service.classes().entrySet()) {
        policies[BudgetedRetryControl.cell(plan.row(), policy.getKey())] = policy.getValue();
      }
    }
    Map<String, Integer> serviceRows = new HashMap<>();
    plans.forEach(plan -> serviceRows.put(plan.name(), plan.row()));
    RuleRouter router =
        new RuleRouter(set, name -> Objects.requireNonNull(serviceRows.get(name), name));
    return new Topology(router, targetRows, plans, policies, limits(set));
  }

  private ServicePlan plan(
      Service service, FileSet set, Map<String, Integer> targetRows, long nowNanos) {
    boolean isRunning = services.contains(service.name());
    int row = services.acquire(service.name());
    int entryBound = Math.max(1, set.deployment().entryBound());
    List<Integer> rows = new ArrayList<>();
    List<Long> extraRoundTrips = new ArrayList<>();
    List<Long> intervals = new ArrayList<>();
    for (TargetGroup group : service.targets()) {
      long extraRoundTrip = extraRoundTripNanos(set, group.dataCentre());
      long interval =
          ProbeBudget.intervalNanos(
              service.probeBudget(), service.probeMillis(), group.slots(), entryBound);
      for (String address : group.addresses()) {
        boolean isNewTarget = !targets.contains(address);
        int target = targets.acquire(address);
        targets.describe(target, row, group.dataCentre(), group.slots(), group.connections());
        probes.setInterval(target, interval, isNewTarget, nowNanos);
        if (isNewTarget && isRunning) {
          targets.health().startServing(target, nowNanos);
        }
        targetRows.put(address, target);
        rows.add(target);
        extraRoundTrips.add(extraRoundTrip);
        intervals.add(interval);
      }
    }
    ClassPolicy read = service.classes().get(RequestClass.READ);
    return new ServicePlan(
        row,
        service.name(),
        service.owner(),
        rows.stream().mapToInt(Integer::intValue).toArray(),
        extraRoundTrips.stream().mapToLong(Long::longValue).toArray(),
        intervals.stream().mapToLong(Long::longValue).toArray(),
        read == null ? 0 : read.hedgeFraction(),
        service.probeMillis());
  }

  private long extraRoundTripNanos(FileSet set, String other) {
    if (other.equals(dataCentre)) {
      return 0;
    }
    for (DataCentreLink link : set.deployment().links()) {
      boolean isForward = link.from().equals(dataCentre) && link.to().equals(other);
      boolean isBackward = link.from().equals(other) && link.to().equals(dataCentre);
      if (isForward || isBackward) {
        return link.roundTripMicros() * NANOS_PER_MICRO;
      }
    }
    return 0;
  }

  private AdmissionView limits(FileSet set) {
    int entryBound = set.deployment().entryBound();
    double weights = Math.max(1, set.tenants().stream().mapToInt(Tenant::weight).sum());
    AdmissionView.@Nullable ServiceLimits[] limits =
        new AdmissionView.ServiceLimits[services.capacity()];
    for (Service service : set.services()) {
      Tenant owner = owner(set, service).orElseThrow();
      int slots = 0;
      int targetCount = 0;
      for (TargetGroup group : service.targets()) {
        slots += group.slots() * group.addresses().size();
        targetCount += group.addresses().size();
      }
      double queuePerSlot =
          Math.max(1, service.queuePerTarget()) * (double) targetCount / Math.max(1, slots);
      limits[services.acquire(service.name())] =
          new AdmissionView.ServiceLimits(
              LimitShare.of(service.limits(), entryBound),
              LimitShare.of(owner.limits(), entryBound),
              tenants.acquire(owner.name()),
              owner.weight() / weights,
              Math.max(Double.MIN_NORMAL, queuePerSlot));
    }
    return new AdmissionView(limits);
  }

  private static Optional<Tenant> owner(FileSet set, Service service) {
    return set.tenants().stream()
        .filter(tenant -> tenant.name().equals(service.owner()))
        .findFirst();
  }
}
