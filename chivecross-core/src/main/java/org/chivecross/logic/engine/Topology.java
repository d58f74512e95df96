package org.chivecross.logic.engine;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.limit.AdmissionView;
import org.chivecross.logic.routing.RequestRouter;
import org.chivecross.model.fileset.ClassPolicy;
import org.jspecify.annotations.Nullable;

/**
 * The file set in force, with its names resolved to table rows. Immutable and safe for use by many
 * threads.
 */
final class Topology {

  static final Topology EMPTY =
      new Topology(
          (method, host, path) -> Optional.empty(),
          Map.of(),
          List.of(),
          new ClassPolicy[0],
          AdmissionView.EMPTY);

  private final RequestRouter router;
  private final Map<String, Integer> targetRows;
  private final Map<String, Integer> serviceRows;
  private final List<ServicePlan> plans;
  private final @Nullable ClassPolicy[] classPolicies;
  private final AdmissionView limits;
  private final int[] rows;
  private final double[] hedgeFractions;

  Topology(
      RequestRouter router,
      Map<String, Integer> targetRows,
      List<ServicePlan> plans,
      @Nullable ClassPolicy[] classPolicies,
      AdmissionView limits) {
    this.router = router;
    this.targetRows = Map.copyOf(targetRows);
    this.plans = List.copyOf(plans);
    this.classPolicies = classPolicies;
    this.limits = limits;
    Map<String, Integer> byName = new HashMap<>();
    plans.forEach(plan -> byName.put(plan.name(), plan.row()));
    serviceRows = Map.copyOf(byName);
    rows = plans.stream().mapToInt(ServicePlan::row).toArray();
    hedgeFractions = plans.stream().mapToDouble(ServicePlan::hedgeFraction).toArray();
  }

  RequestRouter router() {
    return router;
  }

  Map<String, Integer> targetRows() {
    return targetRows;
  }

  int targetRow(String address) {
    return targetRows.getOrDefault(address, TargetSelector.NONE);
  }

  /** Returns the rows of all targets at an IP address. */
  List<Integer> targetRowsAt(String ip) {
    return targetRows.entrySet().stream()
        .filter(target -> target.getKey().startsWith(ip + ":"))
        .map(Map.Entry::getValue)
        .toList();
  }

  Optional<Integer> serviceRow(String name) {
    return Optional.ofNullable(serviceRows.get(name));
  }

  List<ServicePlan> plans() {
    return plans;
  }

  Optional<ServicePlan> plan(int serviceRow) {
    for (ServicePlan plan : plans) {
      if (plan.row() == serviceRow) {
        return Optional.of(plan);
      }
    }
    return Optional.empty();
  }

  /** Returns the rows of all services; callers must not change the array. */
  int[] rows() {
    return rows;
  }

  /** Returns the hedge fractions by index of {@link #rows}; callers must not change the array. */
  double[] hedgeFractions() {
    return hedgeFractions;
  }

  @Nullable ClassPolicy[] classPolicies() {
    return Arrays.copyOf(classPolicies, classPolicies.length);
  }

  AdmissionView limits() {
    return limits;
  }
}
