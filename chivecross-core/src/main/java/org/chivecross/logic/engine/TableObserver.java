package org.chivecross.logic.engine;

import org.chivecross.logic.balance.UpstreamObserver;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.table.TargetTable;

/** Writes what the request path sees into the live columns of the targets. Thread-safe. */
final class TableObserver implements UpstreamObserver {

  private final TargetTable targets;

  TableObserver(TargetTable targets) {
    this.targets = targets;
  }

  @Override
  public void attemptStarted(int target, long nowNanos) {
    targets.start(target);
  }

  @Override
  public void attemptEnded(int target, long latencyNanos, boolean succeeded, long nowNanos) {
    targets.end(target, succeeded);
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
