package org.chivecross.logic.balance;

import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetLoads;
import org.chivecross.model.table.TargetTable;

/**
 * Keeps a moving mean of the recent load reports of each service. The mean replaces the report of a
 * target when that report is too old, and it shows how busy the service is. Without recent reports
 * the mean decays, so that a service for which all requests were shed admits requests again. Not
 * thread-safe: runs in the tick.
 */
public final class LoadSystem {

  private static final double SAMPLE_WEIGHT = 0.1;
  private static final double DECAY_PER_TICK = 0.98;
  private static final long MAX_REPORT_AGE_NANOS = 500_000_000L;

  private final TargetLoads loads;
  private final ServiceTable services;

  /** Creates a system over both tables. */
  public LoadSystem(TargetTable targets, ServiceTable services) {
    loads = targets.loads();
    this.services = services;
  }

  /**
   * Updates the mean load of a service.
   *
   * @param elapsedTicks ticks since the last update; the result equals one update in each of them
   */
  public void tick(int service, Candidates candidates, int elapsedTicks, long nowNanos) {
    double load = 0;
    int slots = 0;
    for (int i = 0; i < candidates.size(); i++) {
      int row = candidates.row(i);
      long reported = loads.reportNanos(row);
      if (reported != TargetTable.NEVER && nowNanos - reported < MAX_REPORT_AGE_NANOS) {
        load += loads.reported(row);
        slots += candidates.slots(i);
      }
    }
    double previous = services.meanLoad(service);
    double next =
        slots == 0
            ? previous * Math.pow(DECAY_PER_TICK, elapsedTicks)
            : previous + sampleWeight(elapsedTicks) * (load / slots - previous);
    services.setMeanLoad(service, next);
  }

  private static double sampleWeight(int elapsedTicks) {
    return elapsedTicks == 1 ? SAMPLE_WEIGHT : 1 - Math.pow(1 - SAMPLE_WEIGHT, elapsedTicks);
  }
}
