package org.chivecross.cli.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class LineQueueTest {

  /** A reader that stops reading must not block the threads that log. */
  @Test
  @Timeout(20)
  void blockedReaderDoesNotBlockLogging() throws InterruptedException {
    CountDownLatch release = new CountDownLatch(1);
    OutputStream blocked =
        new OutputStream() {
          @Override
          public void write(int b) {
            try {
              release.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    LineQueue queue = LineQueue.to(new PrintStream(blocked, true));
    for (int i = 0; i < 5_000; i++) {
      queue.accept("line");
    }
    assertTrue(queue.droppedCount() >= 4_000, queue.droppedCount() + " dropped");
    release.countDown();
  }

  /** The last line of a process was taken from the queue, but not written, when it ended. */
  @Test
  void drainWaitsForTheLinesOfTheBatchInProgress() throws InterruptedException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    LineQueue queue = LineQueue.to(new PrintStream(out, true));
    queue.accept("last");
    Thread.sleep(20);
    queue.drain(5_000);
    assertEquals("last\n", out.toString(StandardCharsets.UTF_8));
  }

  @Test
  void countsLinesDroppedWhenTheQueueIsFull() {
    LineQueue queue = new LineQueue(System.out);
    for (int i = 0; i < 600; i++) {
      queue.accept("line");
    }
    assertEquals(88, queue.droppedCount());
  }
}
