package org.chivecross.logic.limit;

import java.util.concurrent.atomic.AtomicInteger;
import org.chivecross.logic.balance.SharedRandom;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.table.ServiceTable;

/**
 * Admits requests within this entry's share of the limits of their service and tenant, within the
 * tenant's fair share of a full entry, and as long as the targets can answer in time.
 *
 * <p>A request beyond a limit is refused at once with a retry delay and never queued in the entry:
 * the only queues are the short ones of the targets.
 *
 * <p>Invariant: each admitted request is counted once in its service, its tenant and the entry
 * until it is released. Thread-safe; allocates nothing.
 */
public final class SharedAdmission implements AdmissionControl {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MIN_RETRY_AFTER_MILLIS = 500;
  private static final int RETRY_AFTER_JITTER_MILLIS = 1000;

  private final ServiceTable services;
  private final ServiceTable tenants;
  private final SharedRandom random;
  private final int entryConcurrency;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile AdmissionView view = AdmissionView.EMPTY;

  /**
   * Creates an admission control on the counters of both tables.
   *
   * @param entryConcurrency number of requests in flight from which the entry counts as full
   */
  public SharedAdmission(
      ServiceTable services, ServiceTable tenants, SharedRandom random, int entryConcurrency) {
    this.services = services;
    this.tenants = tenants;
    this.random = random;
    this.entryConcurrency = entryConcurrency;
  }

  /** Replaces the limits. */
  public void apply(AdmissionView newView) {
    view = newView;
  }

  @Override
  public Verdict admit(int service, RequestClass requestClass, long deadlineNanos, long nowNanos) {
    AdmissionView.ServiceLimits limits = view.find(service);
    if (limits == null) {
      return Verdict.LIMITED;
    }
    if (deadlineNanos - nowNanos <= minTimeLeftNanos(service)) {
      return Verdict.TOO_LATE;
    }
    if (isShed(service, requestClass, limits, nowNanos)) {
      return Verdict.SHED;
    }
    if (!services.tryStartRequest(service, limits.own().concurrency())) {
      return Verdict.LIMITED;
    }
    if (!tenants.tryStartRequest(limits.tenantRow(), tenantLimit(limits))) {
      services.endRequest(service);
      return Verdict.LIMITED;
    }
    if (!tryTakeTokens(service, limits, nowNanos)) {
      services.endRequest(service);
      tenants.endRequest(limits.tenantRow());
      return Verdict.LIMITED;
    }
    inFlight.incrementAndGet();
    return Verdict.ADMITTED;
  }

  @Override
  public void release(int service, RequestClass requestClass, long nowNanos) {
    inFlight.decrementAndGet();
    services.endRequest(service);
    AdmissionView.ServiceLimits limits = view.find(service);
    if (limits != null) {
      tenants.endRequest(limits.tenantRow());
    }
  }

  @Override
  public long retryAfterMillis(int service, RequestClass requestClass, long nowNanos) {
    AdmissionView.ServiceLimits limits = view.find(service);
    long tokenMillis = limits == null ? 0 : limits.own().intervalNanos() / NANOS_PER_MILLI;
    return MIN_RETRY_AFTER_MILLIS
        + tokenMillis
        + random.nextInt(RETRY_AFTER_JITTER_MILLIS, nowNanos);
  }

  /** Returns the number of admitted requests that have not been released. */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Returns the minimum remaining time of an admissible request, in ns: the expected wait and half
   * of the mean latency.
   */
  private long minTimeLeftNanos(int service) {
    double latencyNanos = services.latencyNanos(service);
    double waiting = Math.max(0, services.meanLoad(service) - 1);
    return (long) (latencyNanos / 2 * Math.min(1, waiting) + latencyNanos / 2);
  }

  private boolean isShed(
      int service, RequestClass requestClass, AdmissionView.ServiceLimits limits, long nowNanos) {
    double waiting = services.meanLoad(service) - 1;
    if (waiting <= 0) {
      return false;
    }
    double shedFraction = ShedPolicy.shedFraction(requestClass, waiting / limits.queuePerSlot());
    return shedFraction > 0 && random.nextDouble(nowNanos) < shedFraction;
  }

  private int tenantLimit(AdmissionView.ServiceLimits limits) {
    int limit = limits.tenant().concurrency();
    if (inFlight.get() < entryConcurrency) {
      return limit;
    }
    return Math.min(limit, Math.max(1, (int) (entryConcurrency * limits.tenantFraction())));
  }

  private boolean tryTakeTokens(int service, AdmissionView.ServiceLimits limits, long nowNanos) {
    LimitShare own = limits.own();
    LimitShare tenant = limits.tenant();
    return services.tryTakeToken(service, own.intervalNanos(), own.burst(), nowNanos)
        && tenants.tryTakeToken(
            limits.tenantRow(), tenant.intervalNanos(), tenant.burst(), nowNanos);
  }
}
