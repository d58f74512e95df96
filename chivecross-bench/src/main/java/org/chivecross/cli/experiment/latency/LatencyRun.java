package org.chivecross.cli.experiment.latency;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Load generator that calls targets directly and through an entry. The same threads alternate
 * between both ways, so that other load on the machine affects both equally. Used by one thread.
 */
final class LatencyRun implements AutoCloseable {

  /** Latencies of both ways, in ns from the intended start, and the number of failed calls. */
  record Latencies(Histogram direct, Histogram entry, long failures) {}

  private static final long MAX_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int STATUS_OK = 200;

  private final List<LoadConnection> directConnections = new ArrayList<>();
  private final List<LoadConnection> entryConnections = new ArrayList<>();
  private final ExecutorService threads;

  LatencyRun(LatencyOptions options) throws IOException {
    for (String target : options.targets()) {
      for (int i = 0; i < options.connections(); i++) {
        directConnections.add(new LoadConnection(target, options.request()));
        entryConnections.add(new LoadConnection(options.entry(), options.request()));
      }
    }
    threads = Executors.newFixedThreadPool(directConnections.size());
  }

  int connectionCount() {
    return directConnections.size();
  }

  /** Calls one way at the rate at which responses arrive and returns the calls per second. */
  double saturate(boolean throughEntry, long millis) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    List<LoadConnection> connections = throughEntry ? entryConnections : directConnections;
    long calls =
        runAll(
            i -> {
              long finishedCalls = 0;
              while (System.nanoTime() < endNanos) {
                connections.get(i).call();
                finishedCalls++;
              }
              return finishedCalls;
            });
    return calls * 1000.0 / millis;
  }

  /** Calls both ways alternately, each at {@code rate} calls per second. */
  Latencies measure(double rate, int seconds) throws InterruptedException {
    Histogram directTimes = new ConcurrentHistogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    Histogram entryTimes = new ConcurrentHistogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    long startNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(50);
    long endNanos = startNanos + TimeUnit.SECONDS.toNanos(seconds);
    double intervalNanos = TimeUnit.SECONDS.toNanos(1) * directConnections.size() / (2 * rate);
    long failures =
        runAll(
            i -> {
              long failed = 0;
              double offsetNanos = intervalNanos * i / directConnections.size();
              for (long n = 0; ; n++) {
                long intendedNanos = startNanos + (long) (offsetNanos + n * intervalNanos);
                if (intendedNanos >= endNanos) {
                  return failed;
                }
                waitUntil(intendedNanos);
                boolean throughEntry = (n + i) % 2 == 0;
                int status = (throughEntry ? entryConnections : directConnections).get(i).call();
                failed += status == STATUS_OK ? 0 : 1;
                (throughEntry ? entryTimes : directTimes)
                    .recordValue(System.nanoTime() - intendedNanos);
              }
            });
    return new Latencies(directTimes, entryTimes, failures);
  }

  @Override
  public void close() throws IOException {
    threads.shutdownNow();
    for (LoadConnection connection : directConnections) {
      connection.close();
    }
    for (LoadConnection connection : entryConnections) {
      connection.close();
    }
  }

  private long runAll(ThreadWork work) throws InterruptedException {
    List<Callable<Long>> tasks = new ArrayList<>();
    for (int i = 0; i < directConnections.size(); i++) {
      int number = i;
      tasks.add(() -> work.run(number));
    }
    long sum = 0;
    for (Future<Long> result : threads.invokeAll(tasks)) {
      try {
        sum += result.get();
      } catch (ExecutionException e) {
        throw new IllegalStateException("call on a load connection failed", e.getCause());
      }
    }
    return sum;
  }

  private static void waitUntil(long timeNanos) {
    for (long leftNanos = timeNanos - System.nanoTime();
        leftNanos > 0;
        leftNanos = timeNanos - System.nanoTime()) {
      LockSupport.parkNanos(leftNanos);
    }
  }

  /** Work of one thread, which gets the number of its connections. */
  @FunctionalInterface
  private interface ThreadWork {
    long run(int number) throws IOException;
  }
}
