package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.request.ConnectionFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests exceptions that no code expects on the path of a request. */
@Timeout(30)
class UnexpectedErrorTest {

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

  private HttpResponse<String> read() throws Exception {
    return HttpClient.newHttpClient()
        .send(
            HttpRequest.newBuilder(entry.uri("/read/x")).timeout(Duration.ofSeconds(10)).build(),
            BodyHandlers.ofString());
  }

  /** Guards against requests at work that are cut by the error of another one. */
  @Test
  void errorEndsItsOwnRequestOnly() throws Exception {
    CountDownLatch mayAnswer = new CountDownLatch(1);
    upstream.setScript(
        call -> {
          await(mayAnswer);
          call.reply(ScriptedUpstream.OK);
        });
    try (Socket caller = entry.connect()) {
      String request = "GET /read/%d HTTP/1.1\r\nHost: h\r\n%s\r\n";
      caller.getOutputStream().write(bytes(request.formatted(1, "")));
      upstream.nextCall();
      entry.setAddressesFail(true);
      caller.getOutputStream().write(bytes(request.formatted(2, "Connection: close\r\n")));
      Thread.sleep(200);
      mayAnswer.countDown();
      String answers =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(answers.startsWith("HTTP/1.1 200 "), answers);
      assertTrue(answers.contains("okHTTP/1.1 503 "), answers);
    }
  }

  /** The first attempt may have run, so that its outcome is unknown. */
  @Test
  void errorBehindAnAttemptIsAnswered() throws Exception {
    upstream.setScript(
        call -> {
          entry.setAddressesFail(true);
          call.socket().close();
        });
    assertEquals(502, read().statusCode());
  }

  /** Guards against an error of this entry that counts as a failure of the target. */
  @Test
  void errorOnAResponseIsNoFaultOfItsTarget() throws Exception {
    entry.observer().setResponsesFail(true);
    assertEquals(502, read().statusCode());
    assertEquals(List.of(), entry.observer().faults());
    assertEquals(1, entry.observer().unexpectedCount());
    entry.observer().setResponsesFail(false);
    assertEquals(200, read().statusCode());
  }

  @Test
  void responseThatCannotBeParsedIsAFaultOfItsTarget() throws Exception {
    upstream.setScript(call -> call.reply("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"));
    assertEquals(502, read().statusCode());
    assertEquals(ConnectionFault.MALFORMED, entry.observer().faults().get(0));
    assertEquals(0, entry.observer().unexpectedCount());
  }

  @Test
  void laterRequestsAreServed() throws Exception {
    entry.setAddressesFail(true);
    assertEquals(503, read().statusCode());
    entry.setAddressesFail(false);
    assertEquals(200, read().statusCode());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
