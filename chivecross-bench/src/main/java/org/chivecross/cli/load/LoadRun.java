package org.chivecross.cli.load;

import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.chivecross.cli.history.HistoryWriter;

/**
 * One open-loop load run: requests start at seeded random times, independently of earlier results,
 * and latency is measured from the intended start.
 *
 * <p>One thread runs it; results arrive on threads of the HTTP client and are counted under the
 * lock of the report.
 */
final class LoadRun {

  private static final long DRAIN_TIMEOUT_SECONDS = 40;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final LoadPreferences preferences;
  private final RequestMix mix;
  private final HistoryWriter history;
  private final HttpClient client;
  private final LoadReport report = new LoadReport();
  private final Phaser pendingRequests = new Phaser(1);

  LoadRun(LoadPreferences preferences, RequestMix mix, HistoryWriter history, HttpClient client) {
    this.preferences = preferences;
    this.mix = mix;
    this.history = history;
    this.client = client;
  }

  /** Sends all requests, waits up to 40 s for the last results and returns the report. */
  LoadReport run() throws InterruptedException {
    CallSender sender =
        new CallSender(client, preferences, directories(), history, System::nanoTime);
    SplittableRandom random = new SplittableRandom(preferences.seed());
    long startNanos = System.nanoTime();
    long endNanos = startNanos + preferences.seconds() * NANOS_PER_SECOND;
    long measuredFromNanos = startNanos + preferences.warmUpSeconds() * NANOS_PER_SECOND;
    long nextNanos = startNanos;
    long number = 0;
    while (true) {
      nextNanos += Math.round(drawExponential(random) * NANOS_PER_SECOND / preferences.rate());
      if (nextNanos >= endNanos) {
        break;
      }
      PlannedRequest planned =
          planRequest(random, number, nextNanos, nextNanos >= measuredFromNanos);
      waitUntil(nextNanos);
      start(sender, planned);
      number++;
    }
    awaitPendingRequests();
    synchronized (report) {
      return report;
    }
  }

  private List<CallerDirectory> directories() {
    List<CallerDirectory> directories = new ArrayList<>();
    if (preferences.direct()) {
      return directories;
    }
    for (int i = 0; i < preferences.callers(); i++) {
      CallerDirectory directory =
          new CallerDirectory(client, "caller-" + i, preferences.entries(), i);
      directory.fetchInitial(System.nanoTime());
      directories.add(directory);
    }
    return directories;
  }

  private PlannedRequest planRequest(
      SplittableRandom random, long number, long intendedStartNanos, boolean isMeasured) {
    RequestKind kind = mix.draw(random);
    long workMicros = Math.round(drawExponential(random) * preferences.workMicros());
    int caller = random.nextInt(preferences.callers());
    return new PlannedRequest(
        preferences.seed() + "-" + number,
        kind,
        caller,
        workMicros,
        intendedStartNanos,
        isMeasured);
  }

  private void start(CallSender sender, PlannedRequest planned) {
    pendingRequests.register();
    synchronized (report) {
      report.recordSent(planned);
    }
    sender.send(planned).whenComplete((result, failure) -> finish(result));
  }

  private void finish(CallResult result) {
    synchronized (report) {
      report.recordEnd(result);
    }
    pendingRequests.arriveAndDeregister();
  }

  private void awaitPendingRequests() throws InterruptedException {
    try {
      pendingRequests.awaitAdvanceInterruptibly(
          pendingRequests.arrive(), DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      System.err.println("requests still pending after " + DRAIN_TIMEOUT_SECONDS + " s");
    }
  }

  private static double drawExponential(SplittableRandom random) {
    return -Math.log(1 - random.nextDouble());
  }

  private static void waitUntil(long nanos) {
    long left = nanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = nanos - System.nanoTime();
    }
  }
}
