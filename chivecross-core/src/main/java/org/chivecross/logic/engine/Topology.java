package org.chivecross.logic.engine;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.limit.AdmissionView;
import org.chivecross.logic.routing.RequestRouter;
import org.chivecross.model.fileset.ClassPolicy;
import org.jspecify.annotations.Nullable;

/**
 * The file set in force, with names resolved to rows. Immutable and safe for use by many threads.
 */
final class Topology {

  static final Topology EMPTY =
      new Topology(
          (method, host, path) -> Optional.empty(),
          Map.of(),
          Map.of(),
          new int[0][],
          new String[0],
          new ClassPolicy[0],
          AdmissionView.EMPTY);

  private final RequestRouter router;
  private final Map<String, Integer> targetRows;
  private final Map<String, Integer> serviceRows;
  private final int[][] targetsByService;
  private final @Nullable String[] tenantByService;
  private final @Nullable ClassPolicy[] classPolicies;
  private final AdmissionView limits;

  Topology(
      RequestRouter router,
      Map<String, Integer> targetRows,
      Map<String, Integer> serviceRows,
      int[][] targetsByService,
      @Nullable String[] tenantByService,
      @Nullable ClassPolicy[] classPolicies,
      AdmissionView limits) {
    this.router = router;
    this.targetRows = Map.copyOf(targetRows);
    this.serviceRows = Map.copyOf(serviceRows);
    this.targetsByService = targetsByService;
    this.tenantByService = tenantByService;
    this.classPolicies = classPolicies;
    this.limits = limits;
  }

  RequestRouter router() {
    return router;
  }

  Map<String, Integer> targetRows() {
    return targetRows;
  }

  Map<String, Integer> serviceRows() {
    return serviceRows;
  }

  int targetRow(String address) {
    return targetRows.getOrDefault(address, TargetSelector.NONE);
  }

  Optional<Integer> serviceRow(String name) {
    return Optional.ofNullable(serviceRows.get(name));
  }

  Optional<String> tenantName(int service) {
    if (service < 0 || service >= tenantByService.length) {
      return Optional.empty();
    }
    return Optional.ofNullable(tenantByService[service]);
  }

  int[] targetsOf(int service) {
    return targetsByService[service].clone();
  }

  @Nullable ClassPolicy[] classPolicies() {
    return Arrays.copyOf(classPolicies, classPolicies.length);
  }

  AdmissionView limits() {
    return limits;
  }
}
