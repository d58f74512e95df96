package org.chivecross.cli.entry;

import java.time.Instant;
import java.util.List;
import java.util.function.IntFunction;
import org.chivecross.cli.entry.admin.DecisionStatus;
import org.chivecross.cli.entry.http.ExchangeObserver;
import org.chivecross.cli.entry.http.ExchangeSummary;
import org.chivecross.logic.request.DecisionLog;
import org.chivecross.logic.request.DecisionRecord;
import org.chivecross.logic.request.RequestMachines;

/** Observer that records the latest decisions and forwards all events to another. Thread-safe. */
final class RecordingObserver implements ExchangeObserver {

  private static final int MAX_DECISIONS = 1_000;

  private final ExchangeObserver delegate;
  private final IntFunction<String> targetAddress;
  private final DecisionLog log = new DecisionLog(MAX_DECISIONS);

  /**
   * Creates an observer.
   *
   * @param delegate receives every event as well
   * @param targetAddress returns the address of a target by its row
   */
  RecordingObserver(ExchangeObserver delegate, IntFunction<String> targetAddress) {
    this.delegate = delegate;
    this.targetAddress = targetAddress;
  }

  /** Returns the latest decisions, newest first. */
  List<DecisionStatus> decisions() {
    long nowNanos = System.nanoTime();
    Instant now = Instant.now();
    return log.newestFirst().stream()
        .map(entry -> status(entry, now.minusNanos(nowNanos - entry.nanos())))
        .toList();
  }

  @Override
  public RequestMachines recorded(RequestMachines machines) {
    return log.recorded(delegate.recorded(machines));
  }

  @Override
  public void ended(ExchangeSummary summary) {
    delegate.ended(summary);
  }

  @Override
  public void silentConnectionFound(int closed) {
    delegate.silentConnectionFound(closed);
  }

  @Override
  public void failedUnexpectedly() {
    delegate.failedUnexpectedly();
  }

  @Override
  public void headRefused(int status) {
    delegate.headRefused(status);
  }

  private DecisionStatus status(DecisionRecord entry, Instant at) {
    return new DecisionStatus(
        at.toString(),
        entry.method(),
        entry.host(),
        entry.path(),
        entry.action(),
        entry.status(),
        entry.outcome(),
        entry.step(),
        entry.target() < 0 ? entry.peer() : targetAddress.apply(entry.target()),
        entry.detail());
  }
}
