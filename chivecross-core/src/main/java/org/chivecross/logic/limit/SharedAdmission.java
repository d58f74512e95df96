package org.chivecross.logic.limit;

import java.util.concurrent.atomic.AtomicInteger;
import org.chivecross.logic.balance.SharedRandom;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.table.ServiceTable;

/**
 * Admits requests within this entry's share of the limits of their service and tenant, within the
 * tenant's fair part of a full entry, and as long as the targets can answer in time.
 *
 * <p>A request beyond a limit is refused at once with a time to come back, never held in the entry:
 * the only queues are the short ones of the targets.
 *
 * <p>Invariant: each admitted request is counted once in its service, its tenant and the entry
 * until it is released. Safe for use by many threads; allocates nothing.
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
   * Creates an admission over the live counters of both tables.
   *
   * @param entryConcurrency requests in flight from which on the entry counts as full
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
    if (!services.tryEnter(service, limits.own().concurrency())) {
      return Verdict.LIMITED;
    }
    if (!tenants.tryEnter(limits.tenantRow(), tenantLimit(limits))) {
      services.leave(service);
      return Verdict.LIMITED;
    }
    if (!tryTakeTokens(service, limits, nowNanos)) {
      services.leave(service);
      tenants.leave(limits.tenantRow());
      return Verdict.LIMITED;
    }
    inFlight.incrementAndGet();
    return Verdict.ADMITTED;
  }

  @Override
  public void release(int service, RequestClass requestClass, long nowNanos) {
    inFlight.decrementAndGet();
    services.leave(service);
    AdmissionView.ServiceLimits limits = view.find(service);
    if (limits != null) {
      tenants.leave(limits.tenantRow());
    }
  }

  @Override
  public long retryAfterMillis(int service, RequestClass requestClass, long nowNanos) {
    AdmissionView.ServiceLimits limits = view.find(service);
    long token = limits == null ? 0 : limits.own().intervalNanos() / NANOS_PER_MILLI;
    return MIN_RETRY_AFTER_MILLIS + token + random.nextInt(RETRY_AFTER_JITTER_MILLIS, nowNanos);
  }

  /** Returns the admitted requests that are not over. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Time that a request must at least have left: waiting before it and half of a usual answer. */
  private long minTimeLeftNanos(int service) {
    double latency = services.latencyNanos(service);
    double waiting = Math.max(0, services.meanLoad(service) - 1);
    return (long) (latency / 2 * Math.min(1, waiting) + latency / 2);
  }

  private boolean isShed(
      int service, RequestClass requestClass, AdmissionView.ServiceLimits limits, long nowNanos) {
    double waiting = services.meanLoad(service) - 1;
    if (waiting <= 0) {
      return false;
    }
    double fraction = ShedPolicy.shedFraction(requestClass, waiting / limits.queuePerSlot());
    return fraction > 0 && random.nextDouble(nowNanos) < fraction;
  }

  private int tenantLimit(AdmissionView.ServiceLimits limits) {
    int most = limits.tenant().concurrency();
    if (inFlight.get() < entryConcurrency) {
      return most;
    }
    return Math.min(most, Math.max(1, (int) (entryConcurrency * limits.tenantFraction())));
  }

  private boolean tryTakeTokens(int service, AdmissionView.ServiceLimits limits, long nowNanos) {
    LimitShare own = limits.own();
    LimitShare tenant = limits.tenant();
    return services.tryTakeToken(service, own.intervalNanos(), own.burst(), nowNanos)
        && tenants.tryTakeToken(
            limits.tenantRow(), tenant.intervalNanos(), tenant.burst(), nowNanos);
  }
}
