package org.chivecross.logic.balance;

import org.chivecross.model.table.TargetLoads;
import org.chivecross.model.table.TargetTable;

/**
 * Requests in flight first, latency second: of the targets that reported a free slot it chooses the
 * one with the lowest latency; without any, the one with the fewest requests. A report is used a
 * few times only and for a short time. Baseline of the experiments. Thread-safe.
 */
public final class HotColdPolicy implements TargetPolicy {

  private static final int MAX_STARTS_PER_REPORT = 2;
  private static final long MAX_REPORT_AGE_NANOS = 100_000_000L;

  private final TargetLoads loads;
  private final SharedRandom random;

  /** Creates a policy over the reports of a table. */
  public HotColdPolicy(TargetTable targets, SharedRandom random) {
    loads = targets.loads();
    this.random = random;
  }

  @Override
  public int choose(Candidates candidates, int excludedTarget, long nowNanos) {
    int size = candidates.size();
    int start = random.nextInt(size, nowNanos);
    int cold = TargetSelector.NONE;
    int hot = TargetSelector.NONE;
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
        cold = row;
        lowestLatency = loads.latencyNanos(row);
      }
      if (load < lowestLoad) {
        hot = row;
        lowestLoad = load;
      }
    }
    if (cold != TargetSelector.NONE) {
      return cold;
    }
    return hot == TargetSelector.NONE ? candidates.row(start) : hot;
  }

  private boolean hasUsableReport(int row, long nowNanos) {
    long reported = loads.reportNanos(row);
    return reported != TargetTable.NEVER
        && nowNanos - reported < MAX_REPORT_AGE_NANOS
        && loads.startsSinceReport(row) < MAX_STARTS_PER_REPORT;
  }
}
