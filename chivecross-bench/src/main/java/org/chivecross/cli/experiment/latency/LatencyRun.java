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
 * Calls targets directly and through an entry from the same threads, in turns, so that whatever
 * disturbs the machine disturbs both alike. Used by one thread.
 */
final class LatencyRun implements AutoCloseable {

  /** Latencies of both ways, in ns from the intended start, and the calls that failed. */
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

  /** Calls one way as fast as answers come; returns calls a second. */
  double saturate(boolean throughEntry, long millis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    List<LoadConnection> connections = throughEntry ? entryConnections : directConnections;
    long calls =
        runAll(
            i -> {
              long done = 0;
              while (System.nanoTime() < end) {
                connections.get(i).call();
                done++;
              }
              return done;
            });
    return calls * 1000.0 / millis;
  }

  /** Calls both ways in turns at {@code rate} a second each. */
  Latencies measure(double rate, int seconds) throws InterruptedException {
    Histogram directTimes = new ConcurrentHistogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    Histogram entryTimes = new ConcurrentHistogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(50);
    long end = start + TimeUnit.SECONDS.toNanos(seconds);
    double intervalNanos = TimeUnit.SECONDS.toNanos(1) * directConnections.size() / (2 * rate);
    long failures =
        runAll(
            i -> {
              long failed = 0;
              double offset = intervalNanos * i / directConnections.size();
              for (long n = 0; ; n++) {
                long intended = start + (long) (offset + n * intervalNanos);
                if (intended >= end) {
                  return failed;
                }
                waitUntil(intended);
                boolean throughEntry = (n + i) % 2 == 0;
                int status = (throughEntry ? entryConnections : directConnections).get(i).call();
                failed += status == STATUS_OK ? 0 : 1;
                (throughEntry ? entryTimes : directTimes).recordValue(System.nanoTime() - intended);
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
        throw new IllegalStateException("a load connection failed", e.getCause());
      }
    }
    return sum;
  }

  private static void waitUntil(long nanos) {
    for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
      LockSupport.parkNanos(left);
    }
  }

  /** Work of one thread; gets the number of its connections. */
  @FunctionalInterface
  private interface ThreadWork {
    long run(int number) throws IOException;
  }
}
