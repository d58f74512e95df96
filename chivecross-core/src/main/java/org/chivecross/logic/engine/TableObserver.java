package org.chivecross.logic.engine;

import org.chivecross.logic.balance.UpstreamObserver;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetTable;

/** Writes what the request path sees into the live columns of the targets. Thread-safe. */
final class TableObserver implements UpstreamObserver {

  private final TargetTable targets;
  private final ServiceTable services;

  TableObserver(TargetTable targets, ServiceTable services) {
    this.targets = targets;
    this.services = services;
  }

  @Override
  public void attemptStarted(int target, long nowNanos) {
    targets.start(target, nowNanos);
  }

  @Override
  public void attemptEnded(int target, long latencyNanos, boolean succeeded, long nowNanos) {
    targets.end(target, succeeded, nowNanos);
    if (succeeded) {
      services.recordLatency(targets.service(target), latencyNanos);
    }
  }

  @Override
  public void attemptAbandoned(int target, long elapsedNanos, long nowNanos) {
    targets.cancel(target);
  }

  @Override
  public void connectionFailed(int target, ConnectionFault fault, long nowNanos) {}

  @Override
  public void loadReported(int target, LoadReport report, long nowNanos) {
    targets.report(target, report, nowNanos);
  }

  @Override
  public void leavingReported(int target, long nowNanos) {}
}
