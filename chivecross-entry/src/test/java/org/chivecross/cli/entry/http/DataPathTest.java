package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what callers and targets receive for well-formed requests. */
class DataPathTest {

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
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

  @Test
  void relaysAnswerToGet() throws Exception {
    upstream.setScript(
        call -> call.reply("HTTP/1.1 203 Fine\r\nX-A: b\r\nContent-Length: 3\r\n\r\nabc"));

    HttpResponse<String> answer = get("/read/x?y=%20z");

    assertEquals(203, answer.statusCode());
    assertEquals("abc", answer.body());
    assertEquals("b", answer.headers().firstValue("x-a").orElse(""));
    assertTrue(upstream.nextCall().head().startsWith("GET /read/x?y=%20z HTTP/1.1\r\n"));
  }

  @Test
  void relaysBodyOfKnownLength() throws Exception {
    byte[] body = bytes(200_000);

    assertEquals(200, send("/upload", BodyPublishers.ofByteArray(body)).statusCode());

    ScriptedUpstream.Call call = upstream.nextCall();
    assertEquals("200000", call.header("content-length"));
    assertArrayEquals(body, call.body());
  }

  @Test
  void relaysChunkedBody() throws Exception {
    byte[] body = bytes(300_000);

    HttpResponse<String> answer =
        send("/upload", BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(body)));

    assertEquals(200, answer.statusCode());
    ScriptedUpstream.Call call = upstream.nextCall();
    assertEquals("chunked", call.header("transfer-encoding"));
    assertArrayEquals(body, call.body());
  }

  @Test
  void relaysChunkedAnswer() throws Exception {
    upstream.setScript(
        call ->
            call.reply(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"));

    assertEquals("abc", get("/read").body());
    assertEquals("abc", get("/read").body());
    assertEquals(1, upstream.connectionCount());
  }

  @Test
  void relaysHeadWithLengthAndNoBody() throws Exception {
    upstream.setScript(call -> call.reply("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"));

    String answers =
        entry.exchange(
            "HEAD /read HTTP/1.1\r\nHost: a\r\n\r\n"
                + "HEAD /read HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");

    assertEquals(2, answers.split("Content-Length: 99\r\n", -1).length - 1, answers);
    assertTrue(answers.endsWith("\r\n\r\n"), answers);
  }

  @Test
  void sendsContinueToCallerThatExpectsIt() throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(entry.uri("/write"))
            .expectContinue(true)
            .POST(BodyPublishers.ofString("hello"))
            .build();

    assertEquals(200, client.send(request, BodyHandlers.ofString()).statusCode());

    ScriptedUpstream.Call call = upstream.nextCall();
    assertEquals("hello", call.text());
    assertEquals("", call.header("expect"));
  }

  @Test
  void reusesConnectionsOnBothSides() throws Exception {
    try (Socket socket = entry.connect()) {
      for (int i = 0; i < 3; i++) {
        socket.getOutputStream().write(ascii("GET /read HTTP/1.1\r\nHost: a\r\n\r\n"));
        assertTrue(readAnswer(socket.getInputStream()).endsWith("ok"));
      }
    }

    assertEquals(1, upstream.connectionCount());
  }

  @Test
  void answersPipelinedRequestsInOrder() throws Exception {
    upstream.setScript(
        call -> {
          String path = call.head().substring("GET ".length(), call.head().indexOf(" HTTP"));
          call.reply("HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path);
        });

    String answers =
        entry.exchange(
            "GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\nGET /read/2 HTTP/1.1\r\nHost: a\r\n\r\n"
                + "GET /chivecross/ping HTTP/1.1\r\nHost: a\r\n\r\n"
                + "GET /read/3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");

    int first = answers.indexOf("/read/1");
    int second = answers.indexOf("/read/2");
    int local = answers.indexOf("{}");
    int third = answers.indexOf("/read/3");
    assertTrue(0 < first && first < second && second < local && local < third, answers);
  }

  /** A read must not wait for a slow read before it on the same connection. */
  @Test
  void runsPipelinedReadsConcurrentlyAndAnswersInOrder() throws Exception {
    CountDownLatch secondArrived = new CountDownLatch(1);
    upstream.setScript(
        call -> {
          boolean first = call.head().startsWith("GET /read/1");
          if (first) {
            await(secondArrived);
          } else {
            secondArrived.countDown();
          }
          call.reply("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + (first ? "1" : "2"));
        });

    String answers =
        entry.exchange(
            "GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n"
                + "GET /read/2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");

    assertEquals(0, secondArrived.getCount());
    int first = answers.indexOf("\r\n\r\n1");
    int second = answers.indexOf("\r\n\r\n2");
    assertTrue(0 < first && first < second, answers);
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void answersHttp10WithoutChunkedCoding() throws Exception {
    upstream.setScript(
        call ->
            call.reply(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"));

    String answer = entry.exchange("GET /read HTTP/1.0\r\n\r\n");

    assertTrue(answer.endsWith("\r\n\r\nab"), answer);
    assertFalse(answer.toLowerCase().contains("transfer-encoding"), answer);
  }

  @Test
  void dropsHopByHopHeadersAndSetsForwardingHeaders() throws Exception {
    upstream.setScript(
        call ->
            call.reply(
                "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\n"
                    + "Chivecross-Load: in-service=1, queued=0, slots=4\r\n"
                    + "Content-Length: 2\r\n\r\nok"));

    String answer =
        entry.exchange(
            "GET /read HTTP/1.1\r\nHost: a.example:80\r\nConnection: close, X-Own\r\nX-Own: 1\r\n"
                + "TE: trailers\r\nUpgrade: h2c\r\nX-Forwarded-For: 10.0.0.9\r\n"
                + "Chivecross-Deadline-Ms: 3000\r\nChivecross-Depth: 4\r\nX-End: 2\r\n\r\n");

    ScriptedUpstream.Call call = upstream.nextCall();
    for (String name : new String[] {"x-own", "te", "upgrade", "connection"}) {
      assertEquals("", call.header(name), name);
    }
    assertEquals("2", call.header("x-end"));
    assertEquals("a.example:80", call.header("host"));
    assertEquals("10.0.0.9, 127.0.0.1", call.header("x-forwarded-for"));
    assertEquals("for=127.0.0.1;proto=http", call.header("forwarded"));
    assertEquals("5", call.header("chivecross-depth"));
    assertTrue(Integer.parseInt(call.header("chivecross-deadline-ms")) <= 3000);
    String lower = answer.toLowerCase();
    assertFalse(lower.contains("x-hop") || lower.contains("keep-alive"), answer);
    assertFalse(lower.contains("chivecross-load"), answer);
  }

  @Test
  void doesNotSendWhenDeadlineHasPassed() throws Exception {
    String answer =
        entry.exchange(
            "GET /read HTTP/1.1\r\nHost: a\r\nConnection: close\r\nChivecross-Deadline-Ms: 0\r\n\r\n");

    assertTrue(answer.startsWith("HTTP/1.1 504 "), answer);
    assertTrue(answer.contains("Chivecross-Outcome: expired\r\n"), answer);
    assertTrue(answer.contains("Retry-After: "), answer);
    assertEquals(0, upstream.connectionCount());
  }

  @Test
  void answersUnknownPathsItself() throws Exception {
    assertEquals(404, get("/nowhere").statusCode());
    assertEquals(404, get("/chivecross/nowhere").statusCode());
    assertEquals(200, get("/chivecross/ping").statusCode());
    assertEquals(0, upstream.connectionCount());
  }

  private HttpResponse<String> get(String path) throws Exception {
    return client.send(HttpRequest.newBuilder(entry.uri(path)).build(), BodyHandlers.ofString());
  }

  private HttpResponse<String> send(String path, HttpRequest.BodyPublisher body) throws Exception {
    HttpRequest request = HttpRequest.newBuilder(entry.uri(path)).POST(body).build();
    return client.send(request, BodyHandlers.ofString());
  }

  private static byte[] bytes(int length) {
    byte[] bytes = new byte[length];
    new Random(1).nextBytes(bytes);
    return bytes;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Reads an answer whose body is "ok". */
  private static String readAnswer(InputStream in) throws IOException {
    StringBuilder answer = new StringBuilder();
    while (answer.indexOf("\r\n\r\nok") < 0) {
      int b = in.read();
      if (b < 0) {
        break;
      }
      answer.append((char) b);
    }
    return answer.toString();
  }
}
