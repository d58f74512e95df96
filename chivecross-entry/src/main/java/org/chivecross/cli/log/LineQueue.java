package org.chivecross.cli.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Lines on their way to a stream whose reader may be slow. Safe for use by many threads.
 *
 * <p>Invariant: adding a line never waits; a line that finds the queue full is dropped and counted.
 */
final class LineQueue implements Consumer<String> {

  /** Lines that wait at most, about a second of the busiest logging that the limits allow. */
  private static final int MAX_QUEUED_LINES = 512;

  private static final long POLL_MILLIS = 5;

  private final BlockingQueue<String> queuedLines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong droppedLines = new AtomicLong();
  private final PrintStream out;

  /** Creates a queue whose lines nobody writes yet. */
  LineQueue(PrintStream out) {
    this.out = out;
  }

  /** Returns a queue whose lines a thread of its own writes. */
  static LineQueue to(PrintStream out) {
    LineQueue queue = new LineQueue(out);
    Thread writer = new Thread(queue::writeAll, "log-writer");
    writer.setDaemon(true);
    writer.start();
    return queue;
  }

  @Override
  public void accept(String line) {
    if (!queuedLines.offer(line)) {
      droppedLines.incrementAndGet();
    }
  }

  /** Returns the number of lines that were dropped. */
  long droppedCount() {
    return droppedLines.get();
  }

  /** Waits until all lines are handed to the stream, for {@code millis} at the most. */
  void drain(long millis) {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    try {
      while (!queuedLines.isEmpty() && System.nanoTime() < end) {
        Thread.sleep(POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeAll() {
    try {
      while (true) {
        out.println(queuedLines.take());
        long lost = droppedLines.getAndSet(0);
        if (lost > 0) {
          out.println(
              "{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":" + lost + "}");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
