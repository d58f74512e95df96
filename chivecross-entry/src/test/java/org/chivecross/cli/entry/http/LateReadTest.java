package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.request.ProbeResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests time-outs that are due while this entry is late to read what has arrived. */
@Timeout(30)
class LateReadTest {

  private static final DataPathSettings ONE_THREAD =
      new DataPathSettings(8_192, 100, 65_536, 5_000, 5_000, 5_000, 5_000, 65_536, 0, 1);

  private final List<Runnable> timers = new CopyOnWriteArrayList<>();
  private final BlockingQueue<ProbeResult> probed = new LinkedBlockingQueue<>();
  private final CountDownLatch mayAnswer = new CountDownLatch(1);
  private final CountDownLatch answered = new CountDownLatch(1);
  private ScriptedUpstream upstream;
  private DataPathFixture entry;

  @BeforeEach
  void start() throws IOException {
    upstream =
        new ScriptedUpstream(
            call -> {
              boolean isProbe = call.head().startsWith("GET /health ");
              if (isProbe) {
                await(mayAnswer);
              }
              call.reply(ScriptedUpstream.OK);
              if (isProbe) {
                answered.countDown();
              }
            });
    entry = new DataPathFixture(ONE_THREAD, upstream.address());
  }

  @AfterEach
  void stop() throws IOException {
    mayAnswer.countDown();
    entry.close();
    upstream.close();
  }

  private void probe() throws Exception {
    entry
        .dataPath()
        .prober(new NativeDialect(), (nanos, task) -> timers.add(task))
        .probe(0, "h", "/health", 1_000, probed::add);
    upstream.nextCall();
  }

  /** Guards against a suspended or slow entry that takes its own delay for a target's silence. */
  @Test
  void responseThatHasArrivedBeforeTheTimeoutCounts() throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    probe();
    entry
        .observer()
        .whenEnded(
            () -> {
              blocked.countDown();
              await(release);
            });
    try (Socket caller = entry.connect()) {
      caller
          .getOutputStream()
          .write("GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      await(blocked);
      mayAnswer.countDown();
      await(answered);
      timers.forEach(Runnable::run);
      release.countDown();
      assertInstanceOf(ProbeResult.Responded.class, probed.poll(10, TimeUnit.SECONDS));
    }
  }

  @Test
  void silenceCountsAfterTheTimeout() throws Exception {
    probe();
    timers.forEach(Runnable::run);
    assertEquals(new ProbeResult.Failed(false), probed.poll(10, TimeUnit.SECONDS));
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
