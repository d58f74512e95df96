package org.chivecross.logic.balance;

import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetLoads;
import org.chivecross.model.table.TargetTable;

/**
 * Ignores the load reports of a service for a while when the reports of many of its targets
 * contradict the latency that this entry measures, as happens when reports are delayed. Delayed
 * reports make all entries send to the same targets, which is worse than having no reports.
 *
 * <p>Invariant: each consecutive period lasts twice as long as the one before (exponential
 * backoff), so that trying reports that are still delayed costs less and less. Not thread-safe:
 * runs in the tick.
 */
public final class ReportTrustSystem {

  /** Length of the first period in which reports are ignored, in ns. */
  public static final long INITIAL_IGNORE_NANOS = 10_000_000_000L;

  private static final double HIGH_UNRELIABILITY = 0.25;
  private static final int MIN_UNRELIABLE_TARGETS = 3;
  private static final int UNRELIABLE_SHARE_DIVISOR = 4;
  private static final int MAX_DOUBLINGS = 8;

  private final TargetLoads loads;
  private final ServiceTable services;
  private final int[] ignorePeriods;

  /** Creates a system over both tables. */
  public ReportTrustSystem(TargetTable targets, ServiceTable services) {
    loads = targets.loads();
    this.services = services;
    ignorePeriods = new int[services.capacity()];
  }

  /** Checks the reports of a service and ignores them for a period if too many are unreliable. */
  public void tick(int service, Candidates candidates, long nowNanos) {
    long until = services.reportsIgnoredUntilNanos(service);
    if (candidates.size() == 0 || nowNanos < until) {
      return;
    }
    int unreliable = 0;
    for (int i = 0; i < candidates.size(); i++) {
      if (loads.reportUnreliability(candidates.row(i)) >= HIGH_UNRELIABILITY) {
        unreliable++;
      }
    }
    if (unreliable
        < Math.max(MIN_UNRELIABLE_TARGETS, candidates.size() / UNRELIABLE_SHARE_DIVISOR)) {
      resetBackoff(service, until, nowNanos);
      return;
    }
    long ignoreNanos = INITIAL_IGNORE_NANOS << Math.min(MAX_DOUBLINGS, ignorePeriods[service]);
    ignorePeriods[service]++;
    services.ignoreReportsUntil(service, nowNanos + ignoreNanos);
    for (int i = 0; i < candidates.size(); i++) {
      loads.resetUnreliability(candidates.row(i));
    }
  }

  private void resetBackoff(int service, long until, long nowNanos) {
    if (ignorePeriods[service] > 0 && nowNanos - until > INITIAL_IGNORE_NANOS << MAX_DOUBLINGS) {
      ignorePeriods[service] = 0;
    }
  }
}
