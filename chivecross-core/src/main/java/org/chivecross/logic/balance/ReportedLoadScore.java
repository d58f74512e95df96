package org.chivecross.logic.balance;

import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetHealth;
import org.chivecross.model.table.TargetLoads;
import org.chivecross.model.table.TargetTable;

/**
 * Score of a target: the estimated load ahead of a new request, in requests for each slot.
 *
 * <p>The newest load report has its full weight when it arrives; as it ages, the mean load of the
 * service replaces it. The attempts that this entry started since the report are added. Own
 * observations take precedence over the report: attempts in flight, latency of the target, a stall,
 * failures. The round trip to another data centre counts as the work that a slot completes in that
 * time.
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

  /** Creates a score that reads the live columns of both tables. */
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
      double freshness = Math.exp(-age / (preferences.reportDecayLatencies() * latency));
      double unreliability = loads.reportUnreliability(row) * preferences.unreliabilityWeight();
      double reportWeight = freshness * (1 - unreliability);
      double blended = mean + (loads.reported(row) - mean) * reportWeight;
      double unreliabilityLoad = mean * unreliability * loads.latencyNanos(row) / latency;
      load = Math.max(inFlight, blended + unreliabilityLoad + loads.startsSinceReport(row));
    }
    double score = load / (candidates.slots(index) * weight);
    score += preferences.roundTripWeight() * candidates.extraRoundTripNanos(index) / latency;
    if (inFlight > 0
        && nowNanos - loads.progressNanos(row) > preferences.stallLatencies() * latency) {
      score += preferences.stallLoad();
    }
    long lastOverdue = loads.lastOverdueNanos(row);
    if (lastOverdue != TargetTable.NEVER && nowNanos - lastOverdue < OVERDUE_PENALTY_NANOS) {
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
