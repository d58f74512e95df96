package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests what callers receive when a target fails, and whether its connections are closed. */
class UpstreamFaultTest {

  private static final String GET = "GET /read HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  private static final String POST =
      "POST /write HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";

  private ScriptedUpstream upstream;
  private DataPathFixture entry;

  @BeforeEach
  void start() throws IOException {
    upstream = new ScriptedUpstream(call -> call.reply(ScriptedUpstream.OK));
    entry = DataPathFixture.to(upstream);
  }

  @AfterEach
  void stop() throws IOException {
    entry.close();
    upstream.close();
  }

  static Stream<Arguments> brokenBodies() {
    return Stream.of(
        Arguments.of("length", "Content-Length: 9\r\n\r\npart"),
        Arguments.of("chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"),
        Arguments.of("inside a chunk", "Transfer-Encoding: chunked\r\n\r\n9\r\npart"),
        Arguments.of("bad chunk", "Transfer-Encoding: chunked\r\n\r\n4\r\npartX\r\n0\r\n\r\n"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("brokenBodies")
  void resetsTheCallerWhenTheBodyBreaks(String name, String rest) {
    upstream.setScript(
        call -> {
          call.reply("HTTP/1.1 200 OK\r\n" + rest);
          call.socket().close();
        });

    assertThrows(IOException.class, () -> entry.exchange(GET));
    assertThrows(IOException.class, () -> entry.exchange(GET.replace("1.1", "1.0")));
  }

  static Stream<Arguments> ambiguousHeads() {
    return Stream.of(
        Arguments.of("length and chunks", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"),
        Arguments.of("two lengths", "Content-Length: 2\r\nContent-Length: 3\r\n"),
        Arguments.of("same length twice", "Content-Length: 2\r\nContent-Length: 2\r\n"),
        Arguments.of("no length", ""),
        Arguments.of("unknown coding", "Transfer-Encoding: gzip\r\n"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("ambiguousHeads")
  void closesConnectionWithAmbiguousAnswer(String name, String headers) throws Exception {
    upstream.setScript(call -> call.reply("HTTP/1.1 200 OK\r\n" + headers + "\r\nok"));

    String answer = entry.exchange(POST);

    assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
    assertTrue(answer.contains("Chivecross-Outcome: unknown\r\n"), answer);
    assertEquals(0, upstream.nextClosed());
    assertEquals(1, upstream.callCount());
  }

  @Test
  void closesConnectionWithSurplusBytes() throws Exception {
    upstream.setScript(call -> call.reply(ScriptedUpstream.OK + "HTTP/1.1 200 OK\r\n"));

    assertTrue(entry.exchange(GET).endsWith("\r\n\r\nok"));
    assertEquals(0, upstream.nextClosed());

    upstream.setScript(call -> call.reply(ScriptedUpstream.OK));
    assertTrue(entry.exchange(GET).endsWith("\r\n\r\nok"));
    assertEquals(2, upstream.connectionCount());
  }

  @Test
  void closesIdleConnectionThatSendsWithoutRequest() throws Exception {
    entry.exchange(GET);
    ScriptedUpstream.Call call = upstream.nextCall();

    call.reply(ScriptedUpstream.OK);

    assertEquals(0, upstream.nextClosed());
  }

  @Test
  void closesConnectionWhoseAnswerCameTooLate() throws Exception {
    CountDownLatch late = new CountDownLatch(1);
    upstream.setScript(
        call -> {
          await(late);
          call.reply("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
        });

    String answer =
        entry.exchange(
            "POST /write HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n"
                + "Chivecross-Deadline-Ms: 1000\r\n\r\nok");
    late.countDown();
    upstream.setScript(call -> call.reply(ScriptedUpstream.OK));

    assertTrue(answer.startsWith("HTTP/1.1 504 "), answer);
    assertTrue(answer.contains("Chivecross-Outcome: unknown\r\n"), answer);
    assertEquals(0, upstream.nextClosed());
    assertTrue(entry.exchange(GET).endsWith("\r\n\r\nok"));
  }

  @Test
  void closesUpstreamConnectionWhenCallerDisconnects() throws Exception {
    upstream.setScript(call -> {});
    try (Socket socket = entry.connect()) {
      socket.getOutputStream().write(GET.getBytes(StandardCharsets.US_ASCII));
      upstream.nextCall();
    }

    assertEquals(0, upstream.nextClosed());
    assertEquals(0, entry.dataPath().inFlightCount());
  }

  @Test
  void resendsWriteThatTargetShed() throws Exception {
    entry.exchange(POST);
    upstream.nextCall();
    CountDownLatch shed = new CountDownLatch(1);
    upstream.setScript(
        call ->
            call.reply(
                tryCountDown(shed)
                    ? "HTTP/1.1 503 Shed\r\nChivecross-Not-Run: 1\r\nContent-Length: 0\r\n"
                        + "Connection: close\r\n\r\n"
                    : ScriptedUpstream.OK));

    String answer = entry.exchange(POST);

    assertTrue(answer.endsWith("\r\n\r\nok"), answer);
    assertEquals(2, upstream.callCount());
  }

  /** Guards against a late copy of a refusal that passes for the refusal of a write that runs. */
  @Test
  void doesNotUseConnectionAgainAfterARefusal() throws Exception {
    String refusal = "HTTP/1.1 503 Shed\r\nChivecross-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    entry.exchange(POST);
    Set<Integer> refusedOn = ConcurrentHashMap.newKeySet();
    AtomicInteger runs = new AtomicInteger();
    upstream.setScript(
        call -> {
          if (refusedOn.isEmpty()) {
            refusedOn.add(call.connection());
            call.reply(refusal);
            return;
          }
          runs.incrementAndGet();
          // Without other idle connections the next request meets the one with the refusal.
          call.reply(
              refusedOn.contains(call.connection())
                  ? refusal
                  : ScriptedUpstream.OK.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        });

    for (int i = 0; i < 4; i++) {
      int before = runs.get();
      String answer = entry.exchange(POST);
      int ran = runs.get() - before;
      assertTrue(ran <= 1, "repeated");
      assertEquals(ran == 1, answer.endsWith("\r\n\r\nok"), answer);
    }
    assertTrue(runs.get() > 0, "nothing ran");
  }

  @Test
  void doesNotRepeatWriteWhoseConnectionWasLost() throws Exception {
    upstream.setScript(call -> call.socket().close());

    String answer = entry.exchange(POST);

    assertTrue(answer.contains("Chivecross-Outcome: unknown\r\n"), answer);
    assertEquals(1, upstream.callCount());
  }

  @Test
  void answersNotRunWhenNoTargetAccepts() throws Exception {
    upstream.close();

    String answer = entry.exchange(POST);

    assertTrue(answer.contains("Chivecross-Outcome: not-run\r\n"), answer);
    assertTrue(answer.contains("Retry-After: "), answer);
  }

  private static boolean tryCountDown(CountDownLatch latch) {
    boolean first = latch.getCount() > 0;
    latch.countDown();
    return first;
  }

  private static void await(CountDownLatch latch) throws IOException {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }
}
