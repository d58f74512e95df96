package org.chivecross.logic.limit;

import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/** Limits of all services by row. Immutable and thread-safe. */
public final class AdmissionView {

  /** View without any service. */
  public static final AdmissionView EMPTY = new AdmissionView(new ServiceLimits[0]);

  private final @Nullable ServiceLimits[] byService;

  /**
   * Limits for the requests of one service.
   *
   * @param own this entry's share of the limits of the service
   * @param tenant this entry's share of the limits of the tenant that owns the service
   * @param tenantRow row of that tenant
   * @param tenantFraction fraction of the entry's capacity that the tenant may use when the entry
   *     is full
   * @param queuePerSlot capacity for waiting requests, for each slot
   */
  public record ServiceLimits(
      LimitShare own,
      LimitShare tenant,
      int tenantRow,
      double tenantFraction,
      double queuePerSlot) {}

  /** Creates a view; the array holds null for a row without a service. */
  public AdmissionView(@Nullable ServiceLimits[] byService) {
    this.byService = Arrays.copyOf(byService, byService.length);
  }

  /** Returns the limits of a service, or null when the row has none; allocates nothing. */
  public @Nullable ServiceLimits find(int service) {
    return service >= 0 && service < byService.length ? byService[service] : null;
  }
}
