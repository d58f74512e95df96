package org.chivecross.logic.limit;

import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.table.ServiceTable;

/**
 * Admits requests within this entry's share of the limits of their service and tenant.
 *
 * <p>Invariant: each admitted request is counted once in its service and its tenant until it is
 * released. Safe for use by many threads.
 */
public final class SharedAdmission implements AdmissionControl {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ServiceTable services;
  private final ServiceTable tenants;
  private volatile AdmissionView view = AdmissionView.EMPTY;

  /** Creates an admission over the live counters of both tables. */
  public SharedAdmission(ServiceTable services, ServiceTable tenants) {
    this.services = services;
    this.tenants = tenants;
  }

  /** Replaces the limits. */
  public void apply(AdmissionView newView) {
    view = newView;
  }

  @Override
  public Verdict admit(int service, RequestClass requestClass, long deadlineNanos, long nowNanos) {
    if (deadlineNanos - nowNanos <= 0) {
      return Verdict.TOO_LATE;
    }
    AdmissionView.ServiceLimits limits = view.find(service);
    if (limits == null) {
      return Verdict.LIMITED;
    }
    LimitShare own = limits.own();
    LimitShare team = limits.tenant();
    int tenant = limits.tenantRow();
    if (!services.tryEnter(service, own.concurrency())) {
      return Verdict.QUEUED;
    }
    if (!tenants.tryEnter(tenant, team.concurrency())) {
      services.leave(service);
      return Verdict.QUEUED;
    }
    if (services.tryTakeToken(service, own.intervalNanos(), own.burst(), nowNanos)
        && tenants.tryTakeToken(tenant, team.intervalNanos(), team.burst(), nowNanos)) {
      return Verdict.ADMITTED;
    }
    services.leave(service);
    tenants.leave(tenant);
    return Verdict.LIMITED;
  }

  @Override
  public void release(int service, RequestClass requestClass, long nowNanos) {
    services.leave(service);
    AdmissionView.ServiceLimits limits = view.find(service);
    if (limits != null) {
      tenants.leave(limits.tenantRow());
    }
  }

  @Override
  public long retryAfterMillis(int service, RequestClass requestClass, long nowNanos) {
    AdmissionView.ServiceLimits limits = view.find(service);
    if (limits == null) {
      return 1;
    }
    return Math.max(1, limits.own().intervalNanos() / NANOS_PER_MILLI);
  }
}
