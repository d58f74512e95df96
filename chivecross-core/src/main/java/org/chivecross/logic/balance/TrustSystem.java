package org.chivecross.logic.balance;

import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetLoads;
import org.chivecross.model.table.TargetTable;

/**
 * Ignores the reports of a whole service for a while when many of its targets contradict what this
 * entry sees, as they do when reports lag. Reports that lag make all entries send to the same
 * targets, so they are worse than none.
 *
 * <p>Invariant: each time in a row lasts twice as long as the one before, so that a trial of
 * reports that still lag costs less and less. Not thread-safe: runs in the tick.
 */
public final class TrustSystem {

  /** First time for which reports are ignored, in ns. */
  public static final long FIRST_DISTRUST_NANOS = 10_000_000_000L;

  private static final double HIGH_DOUBT = 0.25;
  private static final int MIN_DOUBTED = 3;
  private static final int DOUBTED_PART = 4;
  private static final int MAX_DOUBLINGS = 8;

  private final TargetLoads loads;
  private final ServiceTable services;
  private final int[] trips;

  /** Creates a system over both tables. */
  public TrustSystem(TargetTable targets, ServiceTable services) {
    loads = targets.loads();
    this.services = services;
    trips = new int[services.capacity()];
  }

  /** Judges the reports of a service. */
  public void tick(int service, Candidates candidates, long nowNanos) {
    long until = services.distrustedUntilNanos(service);
    if (candidates.size() == 0 || nowNanos < until) {
      return;
    }
    int doubted = 0;
    for (int i = 0; i < candidates.size(); i++) {
      if (loads.doubt(candidates.row(i)) >= HIGH_DOUBT) {
        doubted++;
      }
    }
    if (doubted < Math.max(MIN_DOUBTED, candidates.size() / DOUBTED_PART)) {
      forgive(service, until, nowNanos);
      return;
    }
    long pause = FIRST_DISTRUST_NANOS << Math.min(MAX_DOUBLINGS, trips[service]);
    trips[service]++;
    services.distrustReports(service, nowNanos + pause);
    for (int i = 0; i < candidates.size(); i++) {
      loads.believe(candidates.row(i));
    }
  }

  private void forgive(int service, long until, long nowNanos) {
    if (trips[service] > 0 && nowNanos - until > FIRST_DISTRUST_NANOS << MAX_DOUBLINGS) {
      trips[service] = 0;
    }
  }
}
