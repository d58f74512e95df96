package org.chivecross.logic.balance;

import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetTable;

/**
 * Averages the newest reports of each service. The mean stands in for a report that is too old to
 * say anything about its target. Not thread-safe: runs in the tick.
 */
public final class LoadSystem {

  private static final double NEW_WEIGHT = 0.1;

  private final TargetTable targets;
  private final ServiceTable services;

  /** Creates a system over both tables. */
  public LoadSystem(TargetTable targets, ServiceTable services) {
    this.targets = targets;
    this.services = services;
  }

  /** Updates the mean load of each service. */
  public void tick(Candidates[] candidatesByService, long nowNanos) {
    for (int service = 0; service < candidatesByService.length; service++) {
      Candidates candidates = candidatesByService[service];
      if (candidates.size() > 0) {
        average(service, candidates);
      }
    }
  }

  private void average(int service, Candidates candidates) {
    double sum = 0;
    int reported = 0;
    for (int i = 0; i < candidates.size(); i++) {
      int row = candidates.row(i);
      if (targets.reportNanos(row) == TargetTable.NEVER) {
        continue;
      }
      int load = targets.reportedInService(row) + targets.reportedQueued(row);
      sum += (double) load / candidates.slots(i);
      reported++;
    }
    if (reported == 0) {
      return;
    }
    double old = services.meanLoad(service);
    services.setMeanLoad(service, old + NEW_WEIGHT * (sum / reported - old));
  }
}
