package org.chivecross.cli.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Bounded queue of log lines for a stream whose reader may be slow. Thread-safe.
 *
 * <p>Invariants: adding a line never blocks; a line is dropped and counted when the queue is full.
 * The lines of a batching period are written by one call, so that a line wakes no thread.
 */
final class LineQueue implements Consumer<String> {

  /** Capacity, enough for about one second of logging at the maximum permitted rate. */
  private static final int MAX_QUEUED_LINES = 512;

  private static final long POLL_MILLIS = 5;

  /** Time for which lines are collected; a killed process loses the lines of this time. */
  private static final long BATCH_MILLIS = 50;

  private final BlockingQueue<String> queuedLines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong droppedLines = new AtomicLong();
  private final AtomicLong unwrittenLines = new AtomicLong();
  private final PrintStream out;

  /** Creates a queue without a thread that writes its lines. */
  LineQueue(PrintStream out) {
    this.out = out;
  }

  /** Creates a queue and starts a daemon thread that writes its lines to {@code out}. */
  static LineQueue to(PrintStream out) {
    LineQueue queue = new LineQueue(out);
    Thread writer = new Thread(queue::writeAll, "log-writer");
    writer.setDaemon(true);
    writer.start();
    return queue;
  }

  @Override
  public void accept(String line) {
    unwrittenLines.incrementAndGet();
    if (!queuedLines.offer(line)) {
      unwrittenLines.decrementAndGet();
      droppedLines.incrementAndGet();
    }
  }

  /** Returns the number of lines dropped since the last report of dropped lines. */
  long droppedCount() {
    return droppedLines.get();
  }

  /** Waits until all lines are written, for at most {@code millis}. */
  void drain(long millis) {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    try {
      while (unwrittenLines.get() > 0 && System.nanoTime() < end) {
        Thread.sleep(POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeAll() {
    List<String> batch = new ArrayList<>();
    try {
      while (true) {
        batch.add(queuedLines.take());
        Thread.sleep(BATCH_MILLIS);
        writeBatch(batch);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes the lines of a batch and those queued since, and empties the batch. */
  private void writeBatch(List<String> batch) {
    queuedLines.drainTo(batch);
    int lines = batch.size();
    long lost = droppedLines.getAndSet(0);
    if (lost > 0) {
      batch.add("{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":" + lost + "}");
    }
    byte[] text = (String.join("\n", batch) + "\n").getBytes(StandardCharsets.UTF_8);
    out.write(text, 0, text.length);
    out.flush();
    batch.clear();
    unwrittenLines.addAndGet(-lines);
  }
}
