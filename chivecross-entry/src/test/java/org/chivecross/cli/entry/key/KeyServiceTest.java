package org.chivecross.cli.entry.key;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.chivecross.cli.entry.http.LocalRequest;
import org.chivecross.cli.entry.http.LocalResponse;
import org.chivecross.logic.key.KeyPrefixIssuer;
import org.chivecross.logic.key.KeyRecordTable;
import org.chivecross.logic.key.OwnerCalls;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.peer.HeaderField;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;
import org.chivecross.model.peer.KeyOperation;
import org.chivecross.model.request.Outcome;
import org.junit.jupiter.api.Test;

/** Two entries: "owner" owns the key; "other" forwards requests about it to the owner. */
class KeyServiceTest {

  private static final long WINDOW_MILLIS = 1000;

  private final AtomicLong now = new AtomicLong();
  private final KeyPrefixIssuer ownerIssuer = new KeyPrefixIssuer(1, 0);
  private final KeyRecordTable ownerKeys = new KeyRecordTable(ownerIssuer, 64);
  private final KeyRecordTable otherKeys = new KeyRecordTable(new KeyPrefixIssuer(2, 0), 64);
  private final OwnedKeyService service =
      new OwnedKeyService(ownerKeys, (call, millis, done) -> done.accept(ran()), now::get);
  private final OutcomeHandler owner = handler(ownerKeys);
  private final OutcomeHandler other = handler(otherKeys);
  private final String key = ownerIssuer.prefix(WINDOW_MILLIS, 0) + "deposit";
  private boolean isOwnerReachable = true;

  @Test
  void ownerAndOtherEntryReportTheSameState() {
    ownerKeys.claim(key, 0);
    assertReport("in-flight", Outcome.UNKNOWN);
    ownerKeys.finish(key, 201, Outcome.ANSWERED, 0);
    assertReport("finished", Outcome.ANSWERED);
  }

  @Test
  void keyIsProvedNotRunOnlyAfterCancel() {
    assertReport("never-run", Outcome.UNKNOWN);
    assertEquals("not-run", outcome(ask(other, "DELETE", key)));
    assertReport("fenced", Outcome.NOT_RUN);
  }

  @Test
  void outcomeAfterTheWindowIsUnknown() {
    now.set(TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS));
    assertReport("outside-window", Outcome.UNKNOWN);
  }

  @Test
  void outcomeIsUnknownWhenOwnerIsUnreachable() {
    isOwnerReachable = false;
    LocalResponse response = ask(other, "DELETE", key);
    assertEquals(503, response.status());
    assertEquals("unknown", outcome(response));
    assertTrue(response.headers().containsKey("Retry-After"));
  }

  @Test
  void refusesMalformedKeysAndOtherMethods() {
    assertEquals(400, ask(owner, "GET", "deposit").status());
    assertEquals(405, ask(owner, "POST", key).status());
  }

  @Test
  void runsOnlyKeysOfThisIncarnation() {
    String foreign = new KeyPrefixIssuer(3, 0).prefix(WINDOW_MILLIS, 0) + "deposit";
    assertEquals(200, run(key).status());
    assertEquals(503, run(foreign).status());
  }

  @Test
  void loopbackForwardsMethodHostAndBody() throws IOException, InterruptedException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    server.createContext(
        "/write",
        exchange -> {
          String body =
              new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
          String host = exchange.getRequestHeaders().getFirst("Host");
          seen.add(exchange.getRequestMethod() + " " + host + " " + body);
          exchange.getResponseHeaders().add("Chivecross-Outcome", "answered");
          exchange.sendResponseHeaders(409, 2);
          exchange.getResponseBody().write(new byte[] {1, 2});
          exchange.close();
        });
    server.start();
    try {
      BlockingQueue<KeyAnswer> answers = new LinkedBlockingQueue<>();
      new LoopbackRunner(() -> Optional.of(server.getAddress()))
          .run(call(key), 5_000, answers::add);
      KeyAnswer answer = answers.poll(10, TimeUnit.SECONDS);
      assertEquals("POST bookings.example amount=5", seen.poll());
      assertEquals(409, answer.status());
      assertEquals("answered", outcome(KeyAnswerConverter.toCaller(lowerCased(answer))));
      assertEquals(2, answer.body().length);
    } finally {
      server.stop(0);
    }
  }

  @Test
  void answerAboveTheSizeLimitGivesUnknown() throws IOException, InterruptedException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/write",
        exchange -> {
          exchange.sendResponseHeaders(200, 0);
          try (exchange) {
            exchange.getResponseBody().write(new byte[KeyCall.MAX_BODY_BYTES + 1]);
          }
        });
    server.start();
    try {
      BlockingQueue<KeyAnswer> answers = new LinkedBlockingQueue<>();
      new LoopbackRunner(() -> Optional.of(server.getAddress()))
          .run(call(key), 5_000, answers::add);
      KeyAnswer answer = answers.poll(10, TimeUnit.SECONDS);
      assertEquals(503, answer.status());
      assertEquals("unknown", outcome(KeyAnswerConverter.toCaller(answer)));
    } finally {
      server.stop(0);
    }
  }

  @Test
  void loopbackWithoutCallerAddressGivesUnknown() throws InterruptedException {
    BlockingQueue<KeyAnswer> answers = new LinkedBlockingQueue<>();
    new LoopbackRunner(Optional::empty).run(call(key), 5_000, answers::add);
    assertEquals(503, answers.poll(10, TimeUnit.SECONDS).status());
  }

  private void assertReport(String state, Outcome outcome) {
    for (OutcomeHandler handler : List.of(owner, other)) {
      LocalResponse response = ask(handler, "GET", key);
      assertEquals(outcome.headerValue(), outcome(response));
      String body = new String(response.body(), StandardCharsets.UTF_8);
      assertTrue(body.contains("\"state\":\"" + state + "\""), body);
    }
  }

  private OutcomeHandler handler(KeyRecordTable keys) {
    OwnerCalls calls =
        (incarnation, call, millis, done) -> {
          if (isOwnerReachable) {
            service.handle(call, millis, answer -> done.accept(Result.success(answer)));
          } else {
            done.accept(Result.failed(Step.CONNECT, "entry", "unreachable"));
          }
        };
    return new OutcomeHandler(keys, calls, now::get);
  }

  private KeyAnswer run(String runKey) {
    BlockingQueue<KeyAnswer> answers = new LinkedBlockingQueue<>();
    service.handle(call(runKey), 1000, answers::add);
    return answers.remove();
  }

  private static KeyCall call(String key) {
    return new KeyCall(
        KeyOperation.RUN,
        key,
        "POST",
        "/write",
        List.of(
            new HeaderField("Host", "bookings.example"),
            new HeaderField("Idempotency-Key", key),
            new HeaderField("Content-Length", "8"),
            new HeaderField("Chivecross-Deadline-Ms", "100")),
        "amount=5".getBytes(StandardCharsets.UTF_8));
  }

  private static KeyAnswer ran() {
    return new KeyAnswer(200, List.of(), new byte[0]);
  }

  private static LocalResponse ask(OutcomeHandler handler, String method, String key) {
    BlockingQueue<LocalResponse> responses = new LinkedBlockingQueue<>();
    handler.handle(
        new LocalRequest(method, OutcomeHandler.PATH, Map.of("key", key), "127.0.0.1"),
        responses::add);
    return responses.remove();
  }

  private static KeyAnswer lowerCased(KeyAnswer answer) {
    List<HeaderField> fields =
        answer.headers().stream()
            .filter(field -> field.name().equalsIgnoreCase("Chivecross-Outcome"))
            .map(field -> new HeaderField("Chivecross-Outcome", field.value()))
            .toList();
    return new KeyAnswer(answer.status(), fields, answer.body());
  }

  private static String outcome(LocalResponse response) {
    return response.headers().getOrDefault("Chivecross-Outcome", "");
  }
}
