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
 * One open-loop run: requests start at seeded times, whatever became of those before, and latency
 * counts from the intended start. Run by one thread; results come from client threads and are
 * counted under the lock of the report.
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

  /** Runs to the end and returns the figures. */
  LoadReport run() throws InterruptedException {
    CallSender sender =
        new CallSender(client, preferences, directories(), history, System::nanoTime);
    SplittableRandom random = new SplittableRandom(preferences.seed());
    long start = System.nanoTime();
    long end = start + preferences.seconds() * NANOS_PER_SECOND;
    long measuredFrom = start + preferences.warmUpSeconds() * NANOS_PER_SECOND;
    long next = start;
    long number = 0;
    while (true) {
      next += Math.round(drawExponential(random) * NANOS_PER_SECOND / preferences.rate());
      if (next >= end) {
        break;
      }
      PlannedRequest ticket = planRequest(random, number, next, next >= measuredFrom);
      waitUntil(next);
      start(sender, ticket);
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
      SplittableRandom random, long number, long intended, boolean measured) {
    RequestKind kind = mix.draw(random);
    long work = Math.round(drawExponential(random) * preferences.workMicros());
    int caller = random.nextInt(preferences.callers());
    return new PlannedRequest(
        preferences.seed() + "-" + number, kind, caller, work, intended, measured);
  }

  private void start(CallSender sender, PlannedRequest ticket) {
    pendingRequests.register();
    synchronized (report) {
      report.recordSent(ticket);
    }
    sender.send(ticket).whenComplete((result, failure) -> finish(result));
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
      System.err.println("requests without an end after " + DRAIN_TIMEOUT_SECONDS + " s");
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
