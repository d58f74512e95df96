package org.chivecross.logic.balance;

import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetLoads;
import org.chivecross.model.table.TargetTable;

/**
 * Averages the fresh reports of each service. The mean stands in for a report that is too old to
 * say anything about its target, and tells how full the service is. Without fresh reports it falls,
 * so that a service that shed everything takes work again. Not thread-safe: runs in the tick.
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
   * @param passedTicks ticks since the last update; the mean moves as if it had run in each
   */
  public void tick(int service, Candidates candidates, int passedTicks, long nowNanos) {
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
    double old = services.meanLoad(service);
    double next =
        slots == 0
            ? old * Math.pow(DECAY_PER_TICK, passedTicks)
            : old + sampleWeight(passedTicks) * (load / slots - old);
    services.setMeanLoad(service, next);
  }

  private static double sampleWeight(int passedTicks) {
    return passedTicks == 1 ? SAMPLE_WEIGHT : 1 - Math.pow(1 - SAMPLE_WEIGHT, passedTicks);
  }
}
