package org.chivecross.logic.balance;

import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetHealth;
import org.chivecross.model.table.TargetLoads;
import org.chivecross.model.table.TargetTable;

/**
 * Estimates how much work lies before a new request at a target, in requests for each slot.
 *
 * <p>The newest report counts fully when it is fresh and gives way to the mean of the service as it
 * ages; what this entry sent since is added. What the entry sees itself goes before the report: its
 * own attempts in flight, the latency of the target, a stall, failures. The trip to another data
 * centre counts as the work that a slot does in that time.
 *
 * <p>Thread-safe; allocates nothing.
 */
public final class ReportedLoadScore implements LowestScorePolicy.TargetScore {

  private static final int MAX_COUNTED_FAILURES = 8;
  private static final double FAILURE_PENALTY_NANOS = 1e9;
  private static final long OVERDUE_PENALTY_NANOS = 200_000_000L;

  private final TargetTable targets;
  private final ServiceTable services;
  private final ScorePreferences preferences;

  /** Creates a score over the live columns of both tables. */
  public ReportedLoadScore(
      TargetTable targets, ServiceTable services, ScorePreferences preferences) {
    this.targets = targets;
    this.services = services;
    this.preferences = preferences;
  }

  @Override
  public double score(Candidates candidates, int index, long nowNanos) {
    TargetLoads loads = targets.loads();
    int row = candidates.row(index);
    int service = targets.service(row);
    int inFlight = loads.inFlight(row);
    double latency = Math.max(1, services.latencyNanos(service));
    double weight = candidates.weight(index);
    double mean = services.meanLoad(service) * candidates.slots(index) * weight;
    long reported = loads.reportNanos(row);
    double load = mean + inFlight;
    if (reported != TargetTable.NEVER && nowNanos >= services.reportsIgnoredUntilNanos(service)) {
      double age = nowNanos - reported;
      double fresh = Math.exp(-age / (preferences.reportDecayLatencies() * latency));
      double doubt = loads.reportUnreliability(row) * preferences.unreliabilityWeight();
      double believed = fresh * (1 - doubt);
      double blended = mean + (loads.reported(row) - mean) * believed;
      double doubted = mean * doubt * loads.latencyNanos(row) / latency;
      load = Math.max(inFlight, blended + doubted + loads.startsSinceReport(row));
    }
    double score = load / (candidates.slots(index) * weight);
    score += preferences.roundTripWeight() * candidates.extraRoundTripNanos(index) / latency;
    if (inFlight > 0
        && nowNanos - loads.progressNanos(row) > preferences.stallLatencies() * latency) {
      score += preferences.stallLoad();
    }
    long suspected = loads.lastOverdueNanos(row);
    if (suspected != TargetTable.NEVER && nowNanos - suspected < OVERDUE_PENALTY_NANOS) {
      score += preferences.stallLoad();
    }
    return score + failureLoad(row, nowNanos);
  }

  private double failureLoad(int row, long nowNanos) {
    TargetHealth health = targets.health();
    int failures = health.consecutiveFailures(row);
    if (failures == 0) {
      return 0;
    }
    double age = nowNanos - health.lastFailureNanos(row);
    return Math.min(MAX_COUNTED_FAILURES, failures) * Math.max(0, 1 - age / FAILURE_PENALTY_NANOS);
  }
}
