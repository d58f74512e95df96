package org.chivecross.logic.balance;

import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetTable;

/**
 * Estimates the load of a target from its newest report, the age of that report and what this entry
 * sent since. Thread-safe.
 */
public final class ReportedLoadScore implements LowestScorePolicy.TargetScore {

  private final TargetTable targets;
  private final ServiceTable services;
  private final double ageLatencies;
  private final double overdueLatencies;
  private final double overduePenalty;

  /**
   * Creates a score.
   *
   * @param ageLatencies age at which a report has lost most of its weight, in mean latencies
   * @param overdueLatencies time without progress after which a target counts as stalled, in mean
   *     latencies
   * @param overduePenalty load added to a stalled target, in requests for each slot
   */
  public ReportedLoadScore(
      TargetTable targets,
      ServiceTable services,
      double ageLatencies,
      double overdueLatencies,
      double overduePenalty) {
    this.targets = targets;
    this.services = services;
    this.ageLatencies = ageLatencies;
    this.overdueLatencies = overdueLatencies;
    this.overduePenalty = overduePenalty;
  }

  @Override
  public double score(Candidates candidates, int index, long nowNanos) {
    int row = candidates.row(index);
    int slots = candidates.slots(index);
    int service = targets.service(row);
    double latency = Math.max(1, services.latencyNanos(service));
    double mean = services.meanLoad(service) * slots;
    int inFlight = targets.inFlight(row);
    long reported = targets.reportNanos(row);
    double load = mean + inFlight;
    if (reported != TargetTable.NEVER) {
      double weight = Math.exp(-(nowNanos - reported) / (ageLatencies * latency));
      int last = targets.reportedInService(row) + targets.reportedQueued(row);
      load = Math.max(inFlight, mean + (last - mean) * weight + targets.startsSinceReport(row));
    }
    double score = load / slots;
    if (inFlight > 0 && nowNanos - targets.progressNanos(row) > overdueLatencies * latency) {
      score += overduePenalty;
    }
    return score;
  }
}
