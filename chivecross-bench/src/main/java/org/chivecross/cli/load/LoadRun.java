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

  private static final long DRAIN_SECONDS = 40;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final LoadPreferences preferences;
  private final RequestMix mix;
  private final HistoryWriter history;
  private final HttpClient client;
  private final LoadReport report = new LoadReport();
  private final Phaser open = new Phaser(1);

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
      next += Math.round(exponential(random) * NANOS_PER_SECOND / preferences.rate());
      if (next >= end) {
        break;
      }
      RequestTicket ticket = ticket(random, number, next, next >= measuredFrom);
      waitUntil(next);
      launch(sender, ticket);
      number++;
    }
    awaitOpen();
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
      directory.load(System.nanoTime());
      directories.add(directory);
    }
    return directories;
  }

  private RequestTicket ticket(
      SplittableRandom random, long number, long intended, boolean measured) {
    RequestKind kind = mix.draw(random);
    long work = Math.round(exponential(random) * preferences.workMicros());
    int caller = random.nextInt(preferences.callers());
    return new RequestTicket(
        preferences.seed() + "-" + number, kind, caller, work, intended, measured);
  }

  private void launch(CallSender sender, RequestTicket ticket) {
    open.register();
    synchronized (report) {
      report.sent(ticket);
    }
    sender.send(ticket).whenComplete((result, failure) -> ended(result));
  }

  private void ended(CallResult result) {
    synchronized (report) {
      report.ended(result);
    }
    open.arriveAndDeregister();
  }

  private void awaitOpen() throws InterruptedException {
    try {
      open.awaitAdvanceInterruptibly(open.arrive(), DRAIN_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      System.err.println("requests without an end after " + DRAIN_SECONDS + " s");
    }
  }

  private static double exponential(SplittableRandom random) {
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
