package org.chivecross.logic.balance;

import org.chivecross.model.table.TargetLoads;
import org.chivecross.model.table.TargetTable;

/**
 * Chooses the target with the lowest latency among those that reported a free slot; without any,
 * the target with the lowest load. Targets without a recent report are skipped, and a report is
 * used for a few attempts only; if no target has a usable report, the choice is random. Baseline of
 * the experiments. Thread-safe.
 */
public final class HotColdPolicy implements TargetPolicy {

  private static final int MAX_STARTS_PER_REPORT = 2;
  private static final long MAX_REPORT_AGE_NANOS = 100_000_000L;

  private final TargetLoads loads;
  private final SharedRandom random;

  /** Creates a policy over the load reports of a table. */
  public HotColdPolicy(TargetTable targets, SharedRandom random) {
    loads = targets.loads();
    this.random = random;
  }

  @Override
  public int choose(Candidates candidates, int excludedTarget, long nowNanos) {
    int size = candidates.size();
    int start = random.nextInt(size, nowNanos);
    int fastestWithFreeSlot = TargetSelector.NONE;
    int leastLoaded = TargetSelector.NONE;
    long lowestLatency = Long.MAX_VALUE;
    double lowestLoad = Double.POSITIVE_INFINITY;
    for (int i = 0; i < size; i++) {
      int index = start + i < size ? start + i : start + i - size;
      int row = candidates.row(index);
      if (row == excludedTarget || !hasUsableReport(row, nowNanos)) {
        continue;
      }
      double load =
          (double) (loads.reported(row) + loads.startsSinceReport(row)) / candidates.slots(index);
      if (load < 1 && loads.latencyNanos(row) < lowestLatency) {
        fastestWithFreeSlot = row;
        lowestLatency = loads.latencyNanos(row);
      }
      if (load < lowestLoad) {
        leastLoaded = row;
        lowestLoad = load;
      }
    }
    if (fastestWithFreeSlot != TargetSelector.NONE) {
      return fastestWithFreeSlot;
    }
    return leastLoaded == TargetSelector.NONE ? candidates.row(start) : leastLoaded;
  }

  private boolean hasUsableReport(int row, long nowNanos) {
    long reported = loads.reportNanos(row);
    return reported != TargetTable.NEVER
        && nowNanos - reported < MAX_REPORT_AGE_NANOS
        && loads.startsSinceReport(row) < MAX_STARTS_PER_REPORT;
  }
}
