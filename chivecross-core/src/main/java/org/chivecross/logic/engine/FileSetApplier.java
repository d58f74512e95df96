package org.chivecross.logic.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivecross.logic.limit.AdmissionView;
import org.chivecross.logic.limit.LimitShare;
import org.chivecross.logic.retry.BudgetedRetryControl;
import org.chivecross.logic.routing.RuleRouter;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.chivecross.model.fileset.Tenant;
import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetTable;
import org.jspecify.annotations.Nullable;

/**
 * Resolves the names of a file set to rows of the tables. Rows of names that stay are kept with
 * their live columns; others are released once they are idle and {@link #RELEASE_DELAY_NANOS} have
 * passed, so that a request that still holds the row never meets another target under it.
 *
 * <p>Not thread-safe: the engine calls it from one thread at a time.
 */
final class FileSetApplier {

  /** Time for which a row that left the file set is kept, in ns. */
  static final long RELEASE_DELAY_NANOS = 60_000_000_000L;

  private final TargetTable targets;
  private final ServiceTable services;
  private final ServiceTable tenants;
  private final Map<Integer, Long> unusedTargets = new HashMap<>();
  private final Map<Integer, Long> unusedServices = new HashMap<>();
  private final Map<Integer, Long> unusedTenants = new HashMap<>();

  FileSetApplier(TargetTable targets, ServiceTable services, ServiceTable tenants) {
    this.targets = targets;
    this.services = services;
    this.tenants = tenants;
  }

  /**
   * Resolves a file set.
   *
   * @throws IllegalStateException when a table is full
   */
  Topology apply(FileSet set, long nowNanos) {
    Map<String, Integer> targetRows = new HashMap<>();
    Map<String, Integer> serviceRows = new HashMap<>();
    Map<String, Integer> tenantRows = new HashMap<>();
    int capacity = services.capacity();
    int[][] targetsByService = new int[capacity][0];
    @Nullable String[] tenantByService = new String[capacity];
    @Nullable ClassPolicy[] policies = new ClassPolicy[capacity * RequestClass.values().length];
    for (Service service : set.services()) {
      int row = services.acquire(service.name());
      serviceRows.put(service.name(), row);
      tenantByService[row] = service.owner();
      targetsByService[row] = applyTargets(service, row, targetRows);
      for (Map.Entry<RequestClass, ClassPolicy> policy : service.classes().entrySet()) {
        policies[BudgetedRetryControl.cell(row, policy.getKey())] = policy.getValue();
      }
    }
    for (Tenant tenant : set.tenants()) {
      tenantRows.put(tenant.name(), tenants.acquire(tenant.name()));
    }
    markUnused(unusedTargets, targets.liveRows(), targetRows, nowNanos);
    markUnused(unusedServices, services.liveRows(), serviceRows, nowNanos);
    markUnused(unusedTenants, tenants.liveRows(), tenantRows, nowNanos);
    return new Topology(
        new RuleRouter(set, serviceRows::get),
        targetRows,
        serviceRows,
        targetsByService,
        tenantByService,
        policies,
        limits(set, serviceRows, tenantRows, capacity));
  }

  /** Releases rows that left the file set long enough ago and have nothing in flight. */
  void releaseUnused(long nowNanos) {
    unusedTargets
        .entrySet()
        .removeIf(
            unused -> {
              int row = unused.getKey();
              if (!isExpired(unused.getValue(), nowNanos) || targets.inFlight(row) > 0) {
                return false;
              }
              targets.release(row);
              return true;
            });
    releaseUnused(unusedServices, services, nowNanos);
    releaseUnused(unusedTenants, tenants, nowNanos);
  }

  private int[] applyTargets(Service service, int serviceRow, Map<String, Integer> targetRows) {
    List<Integer> rows = new ArrayList<>();
    for (TargetGroup group : service.targets()) {
      for (String address : group.addresses()) {
        int row = targets.acquire(address);
        targets.describe(row, serviceRow, group.dataCentre(), group.slots(), group.connections());
        targetRows.put(address, row);
        rows.add(row);
      }
    }
    return rows.stream().mapToInt(Integer::intValue).toArray();
  }

  private static AdmissionView limits(
      FileSet set,
      Map<String, Integer> serviceRows,
      Map<String, Integer> tenantRows,
      int capacity) {
    int entries = set.deployment().entryBound();
    Map<String, LimitShare> tenantShares = new HashMap<>();
    for (Tenant tenant : set.tenants()) {
      tenantShares.put(tenant.name(), LimitShare.of(tenant.limits(), entries));
    }
    AdmissionView.@Nullable ServiceLimits[] limits = new AdmissionView.ServiceLimits[capacity];
    for (Service service : set.services()) {
      LimitShare tenantShare = tenantShares.get(service.owner());
      Integer tenantRow = tenantRows.get(service.owner());
      Integer serviceRow = serviceRows.get(service.name());
      if (tenantShare == null || tenantRow == null || serviceRow == null) {
        throw new IllegalArgumentException("service " + service.name() + " has no owner");
      }
      LimitShare own = LimitShare.of(service.limits(), entries);
      limits[serviceRow] = new AdmissionView.ServiceLimits(own, tenantShare, tenantRow);
    }
    return new AdmissionView(limits);
  }

  private static void markUnused(
      Map<Integer, Long> unused, int[] liveRows, Map<String, Integer> used, long nowNanos) {
    Set<Integer> usedRows = new HashSet<>(used.values());
    for (int row : liveRows) {
      if (usedRows.contains(row)) {
        unused.remove(row);
      } else {
        unused.putIfAbsent(row, nowNanos);
      }
    }
  }

  private static void releaseUnused(Map<Integer, Long> unused, ServiceTable table, long nowNanos) {
    unused
        .entrySet()
        .removeIf(
            entry -> {
              int row = entry.getKey();
              if (!isExpired(entry.getValue(), nowNanos) || table.inFlight(row) > 0) {
                return false;
              }
              table.release(row);
              return true;
            });
  }

  private static boolean isExpired(long sinceNanos, long nowNanos) {
    return nowNanos - sinceNanos >= RELEASE_DELAY_NANOS;
  }
}
