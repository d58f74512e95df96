package org.chivecross.cli.experiment;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** What callers saw in one run or in several added up. Not thread-safe. */
final class RunResult {

  private static final long MOST_NANOS = 3_600_000_000_000L;
  private static final int DIGITS = 3;

  private final Histogram all = new Histogram(MOST_NANOS, DIGITS);
  private final List<Histogram> byService = new ArrayList<>();
  private long arrived;
  private long sent;
  private long hedged;
  private long refused;
  private long failed;

  RunResult(int services) {
    for (int s = 0; s < services; s++) {
      byService.add(new Histogram(MOST_NANOS, DIGITS));
    }
  }

  /** Returns a result of the same runs that can be added to. */
  RunResult copy() {
    RunResult copy = new RunResult(byService.size());
    copy.add(this);
    return copy;
  }

  /** Adds the requests of another run. */
  void add(RunResult other) {
    all.add(other.all);
    for (int s = 0; s < byService.size(); s++) {
      byService.get(s).add(other.byService.get(s));
    }
    arrived += other.arrived;
    sent += other.sent;
    hedged += other.hedged;
    refused += other.refused;
    failed += other.failed;
  }

  void recordServed(int service, long nanos) {
    all.recordValue(nanos);
    byService.get(service).recordValue(nanos);
  }

  void countArrived() {
    arrived++;
  }

  void countSent() {
    sent++;
  }

  void countHedged() {
    hedged++;
  }

  void countRefused() {
    refused++;
  }

  void countFailed() {
    failed++;
  }

  Histogram all() {
    return all;
  }

  Histogram service(int number) {
    return byService.get(number);
  }

  long arrived() {
    return arrived;
  }

  long sent() {
    return sent;
  }

  long hedgedCount() {
    return hedged;
  }

  long refusedCount() {
    return refused;
  }

  long failedCount() {
    return failed;
  }

  /** Returns a percentile of all services in ms. */
  double millis(double percentile) {
    return all.getValueAtPercentile(percentile) / 1e6;
  }
}
