package org.chivecross.cli.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Latencies and counts of the requests of one run, or of several runs added up. Not thread-safe.
 */
final class RunResult {

  private static final long MAX_LATENCY_NANOS = 3_600_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram all = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
  private final List<Histogram> byService = new ArrayList<>();
  private final TreeMap<Integer, Histogram> bySecond = new TreeMap<>();
  private long lastSentToFaultyNanos;
  private long arrived;
  private long sent;
  private long hedged;
  private long refused;
  private long failed;

  RunResult(int services) {
    for (int s = 0; s < services; s++) {
      byService.add(new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS));
    }
  }

  /** Returns a copy that can be changed independently. */
  RunResult copy() {
    RunResult copy = new RunResult(byService.size());
    copy.add(this);
    return copy;
  }

  /** Adds the latencies and counts of another run. */
  void add(RunResult other) {
    all.add(other.all);
    for (int s = 0; s < byService.size(); s++) {
      byService.get(s).add(other.byService.get(s));
    }
    other.bySecond.forEach((second, latencies) -> bySecond(second * 1_000_000_000L).add(latencies));
    lastSentToFaultyNanos = Math.max(lastSentToFaultyNanos, other.lastSentToFaultyNanos);
    arrived += other.arrived;
    sent += other.sent;
    hedged += other.hedged;
    refused += other.refused;
    failed += other.failed;
  }

  /**
   * Records a served request.
   *
   * @param sinceNanos time from the end of the warm-up to the arrival of the request, in ns
   * @param nanos latency of the request, in ns
   */
  void recordServed(int service, long sinceNanos, long nanos) {
    all.recordValue(nanos);
    bySecond(sinceNanos).recordValue(nanos);
    byService.get(service).recordValue(nanos);
  }

  /** Records when an attempt was sent to the faulty target, in ns since the end of the warm-up. */
  void recordSentToFaulty(long sinceNanos) {
    lastSentToFaultyNanos = Math.max(lastSentToFaultyNanos, sinceNanos);
  }

  /**
   * Returns when the last attempt was sent to the faulty target, in ms since the end of the
   * warm-up.
   */
  double lastSentToFaultyMillis() {
    return lastSentToFaultyNanos / 1e6;
  }

  /**
   * Returns a latency percentile in ms of the requests that arrived between two seconds, the later
   * one excluded.
   */
  double percentileMillisBetween(double percentile, int fromSecond, int toSecond) {
    Histogram latencies = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    bySecond.subMap(fromSecond, toSecond).values().forEach(latencies::add);
    return latencies.getValueAtPercentile(percentile) / 1e6;
  }

  private Histogram bySecond(long sinceNanos) {
    int second = (int) (sinceNanos / 1_000_000_000L);
    return bySecond.computeIfAbsent(
        second, key -> new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS));
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

  /** Returns a latency percentile over all services in ms. */
  double percentileMillis(double percentile) {
    return all.getValueAtPercentile(percentile) / 1e6;
  }
}
