package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests whose callers leave while the entry does not read from its connections. */
class AbandonedRequestTest {

  private static final int CALLERS = 10;
  private static final int UPLOAD_BYTES = 20_000;
  private static final DataPathSettings ONE_SELECTOR =
      new DataPathSettings(16_384, 100, 1L << 40, 5_000, 60_000, 5_000, 60_000, 65_536, 0, 1);

  private final CountDownLatch selectorHeld = new CountDownLatch(1);
  private final CountDownLatch selectorMayGoOn = new CountDownLatch(1);
  private final List<Socket> callers = new ArrayList<>();
  private ScriptedUpstream upstream;
  private DataPathFixture entry;

  @BeforeEach
  void start() throws IOException {
    upstream = new ScriptedUpstream(call -> call.reply(ScriptedUpstream.OK));
    entry =
        new DataPathFixture(
            ONE_SELECTOR,
            router ->
                (method, host, path) -> {
                  if (path.equals("/read/hold")) {
                    selectorHeld.countDown();
                    await(selectorMayGoOn);
                  }
                  return router.route(method, host, path);
                },
            upstream.address());
  }

  @AfterEach
  void stop() throws IOException {
    entry.close();
    upstream.close();
  }

  /** Guards against a target that gets a request after its caller has closed its connection. */
  @ParameterizedTest
  @CsvSource({
    "GET, true, false",
    "GET, true, true",
    "GET, false, false",
    "GET, false, true",
    "POST, true, false",
    "POST, true, true",
    "PUT, true, false",
    "PUT, false, false"
  })
  void requestReadAfterItsCallerLeftIsNotSent(String method, boolean isKept, boolean isReset)
      throws Exception {
    if (isKept) {
      openCallers();
      warmUp();
    }
    Socket holder = holdSelector();
    if (!isKept) {
      openCallers();
    }
    for (Socket caller : callers) {
      send(caller, request(method, "/gone"));
      leave(caller, isReset);
    }
    goOn(holder);

    assertEquals(0, callsFor("/gone"), upstream.callsSeen());
  }

  /** Guards against a pipelined request that is sent although its caller has left. */
  @Test
  void pipelinedRequestsReadAfterTheirCallerLeftAreNotSent() throws Exception {
    openCallers();
    warmUp();
    Socket holder = holdSelector();
    for (Socket caller : callers) {
      send(caller, request("GET", "/gone") + request("GET", "/gone") + request("GET", "/gone"));
      leave(caller, false);
    }
    goOn(holder);

    assertEquals(0, callsFor("/gone"), upstream.callsSeen());
  }

  /** Guards against another attempt for a caller that left before the first one failed. */
  @Test
  void failedAttemptIsNotRepeatedAfterItsCallerLeft() throws Exception {
    List<ScriptedUpstream.Call> running = new ArrayList<>();
    openCallers();
    warmUp();
    upstream.setScript(
        call -> {
          if (call.head().contains("/gone")) {
            synchronized (running) {
              running.add(call);
            }
          }
        });
    for (Socket caller : callers.subList(0, CALLERS / 2)) {
      send(caller, request("GET", "/gone"));
    }
    awaitTrue(() -> callsFor("/gone") == CALLERS / 2);
    Socket holder = holdSelector();
    for (Socket caller : callers) {
      leave(caller, false);
    }
    synchronized (running) {
      for (ScriptedUpstream.Call call : running) {
        closeAtTarget(call.socket(), true);
      }
    }
    upstream.setScript(call -> call.reply(ScriptedUpstream.OK));
    goOn(holder);

    assertEquals(CALLERS / 2, callsFor("/gone"), upstream.callsSeen());
  }

  /** Guards against a write that gets no answer since its target had closed the connection. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void requestIsNotSentOnAConnectionThatItsTargetHasClosed(boolean isReset) throws Exception {
    openCallers();
    Set<Socket> idle = warmUp();
    Socket holder = holdSelector();
    for (Socket connection : idle) {
      closeAtTarget(connection, isReset);
    }
    for (Socket caller : callers) {
      send(caller, request("POST", "/kept"));
    }
    selectorMayGoOn.countDown();

    for (Socket caller : callers) {
      assertEquals("ok", readBodies(caller, 1));
    }
    assertEquals(CALLERS, callsFor("/kept"), upstream.callsSeen());
    holder.close();
  }

  /** Guards against a caller that gets the answer to another request in place of a dropped one. */
  @Test
  void callerThatEndedItsSideGetsNoAnswerToAnotherRequest() throws Exception {
    List<ScriptedUpstream.Call> running = Collections.synchronizedList(new ArrayList<>());
    openCallers();
    warmUp();
    upstream.setScript(running::add);
    for (Socket caller : callers.subList(0, CALLERS / 2)) {
      send(caller, request("GET", "/first") + request("GET", "/second"));
    }
    awaitTrue(() -> running.size() == CALLERS);
    Socket holder = holdSelector();
    for (Socket caller : callers) {
      caller.shutdownOutput();
    }
    for (ScriptedUpstream.Call call : running) {
      if (call.head().contains("/second")) {
        call.reply(ScriptedUpstream.OK);
      } else {
        closeAtTarget(call.socket(), true);
      }
    }
    upstream.setScript(call -> call.reply(ScriptedUpstream.OK));
    goOn(holder);

    for (Socket caller : callers) {
      assertEquals(-1, caller.getInputStream().read());
    }
  }

  /** Guards against a request that nobody handles after the look for a close has read it. */
  @ParameterizedTest
  @ValueSource(ints = {1, 7, 30})
  void requestsThatArriveBeforeTheLookForACloseAreServedInOrder(int count) throws Exception {
    upstream.setScript(call -> call.reply(numberAnswer(call)));
    try (Socket caller = entry.connect()) {
      send(caller, "GET /read/hold?00 HTTP/1.1\r\nHost: a\r\n\r\n");
      await(selectorHeld);
      StringBuilder expected = new StringBuilder("00");
      for (int i = 1; i <= count; i++) {
        send(caller, numbered(i));
        expected.append("%02d".formatted(i));
      }
      selectorMayGoOn.countDown();

      assertEquals(expected.toString(), readBodies(caller, count + 1));
    }
  }

  /** Guards against requests that overtake others whose reader is suspended at the limit. */
  @Test
  void requestsReadByALookBesideASuspendedReaderAreServedInOrder() throws Exception {
    List<ScriptedUpstream.Call> running = Collections.synchronizedList(new ArrayList<>());
    openCallers();
    warmUp();
    upstream.setScript(running::add);
    try (Socket caller = entry.connect()) {
      StringBuilder expected = new StringBuilder();
      for (int i = 0; i < 12; i++) {
        send(caller, numbered(i));
        expected.append("%02d".formatted(i));
      }
      awaitTrue(() -> running.size() == 8);
      for (int i = 12; i < 17; i++) {
        send(caller, numbered(i));
        expected.append("%02d".formatted(i));
      }
      upstream.setScript(call -> call.reply(numberAnswer(call)));
      for (ScriptedUpstream.Call call : running) {
        if (id(call).equals("07")) {
          call.socket().setOption(StandardSocketOptions.SO_LINGER, 0);
          call.socket().close();
        }
      }
      awaitTrue(() -> callsFor("/numbered?07") == 2);
      // Time in which the entry would handle requests that are not to be handled yet.
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
      for (ScriptedUpstream.Call call : running) {
        if (!id(call).equals("07")) {
          call.reply(numberAnswer(call));
        }
      }

      assertEquals(expected.toString(), readBodies(caller, 17));
    }
  }

  /** Guards against bytes that are lost when the entry looks for a close before it sends. */
  @Test
  void pipelinedRequestsAndBodiesArriveWholeAndInOrder() throws Exception {
    upstream.setScript(
        call -> call.reply("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" + bodyLength(call)));
    try (Socket socket = entry.connect()) {
      StringBuilder expected = new StringBuilder();
      for (int i = 0; i < 300; i++) {
        int length = 100_000 + 37 * i % 3_000;
        send(socket, put("/upload/" + i, length));
        expected.append(length);
        if (i % 5 == 0) {
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
        if (i % 6 == 5) {
          assertEquals(expected.toString(), readBodies(socket, 6));
          expected.setLength(0);
        }
      }
    }
  }

  private void openCallers() throws IOException {
    for (int i = 0; i < CALLERS; i++) {
      callers.add(entry.connect());
    }
  }

  /**
   * Sends a request on each connection at the same time, so that as many to the target open.
   *
   * @return the target's ends of these
   */
  private Set<Socket> warmUp() throws IOException {
    Set<Socket> connections = ConcurrentHashMap.newKeySet();
    upstream.setScript(
        call -> {
          connections.add(call.socket());
          awaitTrue(() -> callsFor("/warm") == CALLERS);
          call.reply(ScriptedUpstream.OK);
        });
    for (Socket caller : callers) {
      send(caller, request("GET", "/warm"));
    }
    for (Socket caller : callers) {
      assertEquals("ok", readBodies(caller, 1));
    }
    upstream.setScript(call -> call.reply(ScriptedUpstream.OK));
    return connections;
  }

  private Socket holdSelector() throws IOException {
    Socket holder = entry.connect();
    send(holder, "GET /read/hold HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    await(selectorHeld);
    return holder;
  }

  /** Lets the selector go on and waits until it has handled all that happened meanwhile. */
  private void goOn(Socket holder) throws IOException {
    selectorMayGoOn.countDown();
    holder.getInputStream().readAllBytes();
    awaitTrue(() -> entry.dataPath().callerCount() == 0);
    assertTrue(entry.exchange(closing("/read/after")).endsWith("ok"));
    // What was sent before the last request may be read by another thread of the upstream.
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
  }

  private static void leave(Socket caller, boolean isReset) throws IOException {
    if (isReset) {
      caller.setOption(StandardSocketOptions.SO_LINGER, 0);
    }
    caller.close();
  }

  /** Closes the target's end of a connection; a reset is sent once its reading thread has ended. */
  private void closeAtTarget(Socket connection, boolean isReset) throws Exception {
    leave(connection, isReset);
    upstream.nextClosed();
  }

  private int callsFor(String path) {
    return upstream.callsSeen().split(Pattern.quote(path), -1).length - 1;
  }

  private static String request(String method, String path) {
    return switch (method) {
      case "PUT" -> put("/upload" + path, UPLOAD_BYTES);
      case "POST" -> "POST /write" + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
      default -> "GET /read" + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    };
  }

  private static String put(String path, int bytes) {
    return "PUT "
        + path
        + " HTTP/1.1\r\nHost: a\r\nContent-Length: "
        + bytes
        + "\r\n\r\n"
        + "x".repeat(bytes);
  }

  private static String closing(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  }

  private static String numbered(int number) {
    return "GET /read/numbered?%02d HTTP/1.1\r\nHost: a\r\n\r\n".formatted(number);
  }

  private static String numberAnswer(ScriptedUpstream.Call call) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + id(call);
  }

  private static String id(ScriptedUpstream.Call call) {
    int at = call.head().indexOf('?') + 1;
    return call.head().substring(at, at + 2);
  }

  private static String bodyLength(ScriptedUpstream.Call call) {
    return call.text().chars().allMatch(c -> c == 'x') ? "" + call.body().length : "broken";
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Reads responses and returns their bodies, one behind the other. */
  private static String readBodies(Socket socket, int count) throws IOException {
    StringBuilder bodies = new StringBuilder();
    for (int i = 0; i < count; i++) {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) socket.getInputStream().read());
      }
      String lower = head.toString().toLowerCase();
      int at = lower.indexOf("content-length:") + "content-length:".length();
      int length = Integer.parseInt(lower.substring(at, lower.indexOf('\r', at)).strip());
      bodies.append(
          new String(socket.getInputStream().readNBytes(length), StandardCharsets.US_ASCII));
    }
    return bodies.toString();
  }

  private static void awaitTrue(BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "not reached within 10 s");
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(10, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
