package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.chivecross.model.request.ProbeResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what this entry concludes about targets while it ends or lacks connections. */
@Timeout(30)
class EndingDataPathTest {

  private final List<Runnable> timers = new CopyOnWriteArrayList<>();
  private final BlockingQueue<ProbeResult> probed = new LinkedBlockingQueue<>();
  private ScriptedUpstream upstream;
  private DataPathFixture entry;

  @BeforeEach
  void start() throws IOException {
    upstream = new ScriptedUpstream(call -> {});
    entry = DataPathFixture.to(upstream);
  }

  @AfterEach
  void stop() throws IOException {
    entry.close();
    upstream.close();
  }

  private void probe() {
    entry
        .dataPath()
        .prober(new NativeDialect(), (nanos, task) -> timers.add(task))
        .probe(0, "h", "/health", 1_000, probed::add);
  }

  private Socket send(String path) throws Exception {
    Socket caller = entry.connect();
    String request = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    upstream.nextCall();
    return caller;
  }

  /** Guards against targets that an ending entry takes for silent. */
  @Test
  void probeThatTimesOutWhileTheEntryEndsJudgesNothing() throws Exception {
    probe();
    upstream.nextCall();
    try (Socket caller = send("/read/x")) {
      entry.observer().whenEnded(() -> timers.forEach(Runnable::run));
      CompletableFuture<Void> ended = stopAsync();
      assertEquals(new ProbeResult.NotMade(), probed.poll(10, TimeUnit.SECONDS));
      caller.close();
      ended.get(10, TimeUnit.SECONDS);
      assertEquals(List.of(), List.copyOf(probed));
    }
  }

  /** Ends the data path, with more time than its callers need here. */
  private CompletableFuture<Void> stopAsync() {
    return CompletableFuture.runAsync(
        () -> {
          try {
            entry.dataPath().stop(System.nanoTime() + TimeUnit.SECONDS.toNanos(10));
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  /** Guards against targets that count as silent since this entry has no connection for probes. */
  @Test
  void probeWithoutConnectionJudgesNothing() {
    entry.setConnectionLimit(0);
    probe();
    assertEquals(List.of(new ProbeResult.NotMade()), List.copyOf(probed));
  }

  /** Guards against callers that connect to an entry that ends, and are reset. */
  @Test
  void noCallerIsAcceptedWhileAnswersAreTaken() throws Exception {
    try (Socket caller = send("/read/x")) {
      CompletableFuture<Void> ended = stopAsync();
      // The end is at work once the request in flight is answered.
      caller.getInputStream().read();
      assertThrows(ConnectException.class, () -> entry.connect().close());
      caller.close();
      ended.get(10, TimeUnit.SECONDS);
    }
  }

  /** Guards against requests left unanswered since the end of another one failed unexpectedly. */
  @Test
  void unexpectedErrorAtTheEndOfARequestDoesNotKeepTheOthersFromTheirAnswers() throws Exception {
    try (Socket first = send("/read/x");
        Socket second = send("/read/y")) {
      AtomicBoolean failed = new AtomicBoolean();
      entry
          .observer()
          .whenEnded(
              () -> {
                if (failed.compareAndSet(false, true)) {
                  throw new IllegalStateException("defect of the test");
                }
              });
      assertDoesNotThrow(
          () -> entry.dataPath().stop(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200)));
      String one = new String(first.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
      String two = new String(second.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
      assertEquals("HTTP/1.1 502|HTTP/1.1 502", one + "|" + two);
    }
  }
}
