package org.chivecross.logic.engine;

import org.chivecross.logic.balance.UpstreamObserver;
import org.chivecross.logic.leaving.LeavingSystem;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.table.LatencyTable;
import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetTable;

/** Records the observations of the request path in the live columns of the tables. Thread-safe. */
final class TableObserver implements UpstreamObserver {

  /** Latency, in mean latencies of the service, above which a target counts as late. */
  private static final double LATE_ANSWER_FACTOR = 2.5;

  /** Waiting time, in mean latencies of the service, above which an attempt is overdue. */
  private static final int OVERDUE_FACTOR = 2;

  private final TargetTable targets;
  private final ServiceTable services;
  private final LatencyTable latencies;
  private final LeavingSystem leaving;

  TableObserver(
      TargetTable targets, ServiceTable services, LatencyTable latencies, LeavingSystem leaving) {
    this.targets = targets;
    this.services = services;
    this.latencies = latencies;
    this.leaving = leaving;
  }

  @Override
  public void attemptStarted(int target, long nowNanos) {
    targets.loads().start(target, nowNanos);
  }

  @Override
  public void attemptEnded(int target, long latencyNanos, boolean succeeded, long nowNanos) {
    targets.loads().end(target, nowNanos);
    if (!succeeded) {
      targets.health().recordFailure(target, nowNanos);
      return;
    }
    targets.health().recordSuccess(target);
    targets.loads().recordReportCheck(target, isContradicted(target, latencyNanos));
    if (latencyNanos < OVERDUE_FACTOR * services.latencyNanos(targets.service(target))) {
      targets.loads().clearOverdue(target);
    }
    recordLatency(target, latencyNanos);
  }

  @Override
  public void attemptAbandoned(int target, long waitedNanos, long nowNanos) {
    targets.loads().cancel(target);
    long meanLatencyNanos = services.latencyNanos(targets.service(target));
    if (waitedNanos > meanLatencyNanos) {
      recordLatency(target, waitedNanos);
    }
    if (waitedNanos > OVERDUE_FACTOR * meanLatencyNanos) {
      targets.loads().recordOverdueAttempt(target, nowNanos);
      targets.loads().recordReportCheck(target, isContradicted(target, waitedNanos));
    }
  }

  @Override
  public void connectionFailed(int target, ConnectionFault fault, long nowNanos) {
    if (fault == ConnectionFault.REFUSED) {
      leaving.refused(target, nowNanos);
    }
  }

  @Override
  public void loadReported(int target, LoadReport report, long nowNanos) {
    targets.loads().report(target, report, nowNanos);
  }

  @Override
  public void leavingReported(int target, long nowNanos) {
    leaving.headerSeen(target, nowNanos);
  }

  /**
   * Returns whether a target reports more than half of its slots free and yet is late, which makes
   * its load reports unreliable.
   */
  private boolean isContradicted(int target, long latencyNanos) {
    return 2 * targets.loads().reported(target) < targets.slots(target)
        && latencyNanos > LATE_ANSWER_FACTOR * services.latencyNanos(targets.service(target));
  }

  private void recordLatency(int target, long nanos) {
    int service = targets.service(target);
    targets.loads().recordLatency(target, nanos);
    services.recordLatency(service, nanos);
    latencies.record(service, nanos);
  }
}
