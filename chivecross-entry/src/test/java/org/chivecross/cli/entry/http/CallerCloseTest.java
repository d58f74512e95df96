package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests that are read while the entry closes the connection on which they came. */
class CallerCloseTest {

  private static final String GET = "GET /read HTTP/1.1\r\nHost: a\r\n\r\n";
  private static final String HALF = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab";
  private static final int IDLE_MILLIS = 50;
  private static final int ROUNDS = 20;

  private ScriptedUpstream upstream;

  @BeforeEach
  void start() throws IOException {
    upstream = new ScriptedUpstream(call -> call.reply(ScriptedUpstream.OK));
  }

  @AfterEach
  void stop() throws IOException {
    upstream.close();
  }

  /** Guards against a target that runs a request whose idle connection was closed meanwhile. */
  @Test
  void requestReadBeforeAnIdleCloseIsNotPassedOnAfterIt() throws Exception {
    AtomicBoolean isClosing = new AtomicBoolean(true);
    CompletableFuture<DataPath> closed = new CompletableFuture<>();
    try (DataPathFixture entry =
        new DataPathFixture(
            DataPathSettings.defaults(),
            router ->
                (method, host, path) -> {
                  if (isClosing.get()) {
                    CompletableFuture.runAsync(() -> closeAllAsIdle(closed.join())).join();
                  }
                  return router.route(method, host, path);
                },
            upstream.address())) {
      closed.complete(entry.dataPath());
      int answers = 0;
      for (int i = 0; i < ROUNDS; i++) {
        answers += entry.exchange(GET).isEmpty() ? 0 : 1;
      }
      isClosing.set(false);
      answers +=
          entry.exchange(GET.replace("a\r\n", "a\r\nConnection: close\r\n")).isEmpty() ? 0 : 1;

      assertEquals(answers, upstream.callCount());
    }
  }

  /** Guards against the same failure where only the timing of callers brings it about. */
  @Test
  void everyRequestThatATargetRanIsAnsweredBesideIdleCloses() throws Exception {
    Set<String> ran = ConcurrentHashMap.newKeySet();
    Set<String> unanswered = ConcurrentHashMap.newKeySet();
    AtomicInteger requests = new AtomicInteger();
    upstream.setScript(
        call -> {
          ran.add(call.header("X-Id"));
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
          call.reply(ScriptedUpstream.OK);
        });
    DataPathSettings settings =
        new DataPathSettings(16_384, 100, 1L << 40, 5_000, IDLE_MILLIS, 250, 500);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
    ExecutorService threads = Executors.newCachedThreadPool();
    try (DataPathFixture entry = new DataPathFixture(settings, upstream.address())) {
      for (int i = 0; i < 8; i++) {
        threads.execute(() -> sendAtTheIdleLimit(entry, end, requests, unanswered));
      }
      while (System.nanoTime() < end) {
        entry.dataPath().closeIdle(System.nanoTime());
      }
      threads.shutdown();
      assertTrue(threads.awaitTermination(10, TimeUnit.SECONDS));

      Set<String> lost = new TreeSet<>(ran);
      lost.retainAll(unanswered);
      assertEquals(Set.of(), lost, "of " + requests + ", " + unanswered.size() + " unanswered");
    }
  }

  /** Guards against a target that runs a request whose connection a neighbour reset meanwhile. */
  @Test
  void requestReadBeforeAnAbortIsNotPassedOnAfterIt() throws Exception {
    List<CountDownLatch> aborted =
        List.of(new CountDownLatch(1), new CountDownLatch(1), new CountDownLatch(1));
    upstream.setScript(call -> call.reply(isFor(call, "/read/1") ? HALF : ScriptedUpstream.OK));
    try (DataPathFixture entry =
        new DataPathFixture(
            DataPathSettings.defaults(),
            router ->
                (method, host, path) -> {
                  if (path.startsWith("/read/2/")) {
                    awaitQuietly(aborted.get(Integer.parseInt(path.substring(8))));
                  }
                  return router.route(method, host, path);
                },
            upstream.address())) {
      for (int i = 0; i < aborted.size(); i++) {
        try (Socket socket = entry.connect()) {
          send(socket, get("/read/1", "Chivecross-Deadline-Ms: 800"));
          readUntil(socket, "\r\n\r\nab");
          send(socket, get("/read/2/" + i, "X-A: b"));
          entry.observer().nextSummary();
          aborted.get(i).countDown();
          assertThrows(SocketException.class, () -> readUntil(socket, "\r\n\r\nok"));
        }
      }
      entry.exchange(get("/read/3", "Connection: close"));

      assertFalse(upstream.callsSeen().contains("/read/2"), upstream.callsSeen());
    }
  }

  /** Guards against a target that runs a request behind the last response of its connection. */
  @Test
  void requestBehindTheLastResponseIsNotPassedOn() throws Exception {
    CountDownLatch secondRead = new CountDownLatch(1);
    CountDownLatch firstMayEnd = new CountDownLatch(1);
    upstream.setScript(
        call -> {
          call.reply(HALF);
          awaitQuietly(firstMayEnd);
          call.reply("cd");
        });
    try (DataPathFixture entry =
            new DataPathFixture(
                DataPathSettings.defaults(),
                router ->
                    (method, host, path) -> {
                      if (path.equals("/read/2")) {
                        secondRead.countDown();
                      }
                      return router.route(method, host, path);
                    },
                upstream.address());
        Socket socket = entry.connect()) {
      entry.dataPath().startLeaving();
      send(socket, get("/read/1", "X-A: b"));
      String head = readUntil(socket, "\r\n\r\nab");
      assertTrue(head.toLowerCase().contains("connection: close"), head);
      send(socket, get("/read/2", "X-A: b"));
      awaitQuietly(secondRead);
      awaitSecondCall();
      firstMayEnd.countDown();

      assertEquals(
          "cd", new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII));
      assertFalse(upstream.callsSeen().contains("/read/2"), upstream.callsSeen());
    }
  }

  /** Guards against a target that runs a request behind one that ends the connection. */
  @Test
  void requestBehindOneThatEndsTheConnectionIsNotPassedOn() throws Exception {
    upstream.setScript(
        call -> {
          awaitSecondCall();
          call.reply(ScriptedUpstream.OK);
        });
    try (DataPathFixture entry = DataPathFixture.to(upstream)) {
      String answers =
          entry.exchange(get("/read/1", "Connection: close") + get("/read/2", "X-A: b"));

      assertTrue(answers.endsWith("\r\n\r\nok"), answers);
      assertFalse(upstream.callsSeen().contains("/read/2"), upstream.callsSeen());
    }
  }

  /** Guards against a target that runs a request behind the early answer to an upload. */
  @Test
  void requestBehindAnEarlyAnswerIsNotPassedOn() throws Exception {
    DataPathSettings settings = new DataPathSettings(16_384, 100, 10, 5_000, 60_000, 250, 500);
    try (DataPathFixture entry = new DataPathFixture(settings, upstream.address())) {
      for (int i = 0; i < 5; i++) {
        try (Socket socket = entry.connect()) {
          send(
              socket,
              "PUT /upload HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                  + "c\r\n123456789012\r\n");
          byte[] answer = socket.getInputStream().readAllBytes();
          assertTrue(new String(answer, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 413 "));
          send(socket, "0\r\n\r\n" + get("/read/2", "X-A: b"));
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        }
      }

      assertEquals("[]", upstream.callsSeen());
    }
  }

  /** Guards against a slow head that cuts the request before it, at which a target is at work. */
  @Test
  void overdueHeadDoesNotCutTheRequestBeforeIt() throws Exception {
    DataPathSettings settings = new DataPathSettings(16_384, 100, 1L << 40, 100, 60_000, 250, 500);
    upstream.setScript(
        call -> {
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(400));
          call.reply(ScriptedUpstream.OK);
        });
    try (DataPathFixture entry = new DataPathFixture(settings, upstream.address());
        Socket socket = entry.connect()) {
      send(socket, GET + "GET /re");

      readUntil(socket, "\r\n\r\nok");
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  /** Guards against a response that breaks off and cuts the request before it. */
  @Test
  void brokenResponseDoesNotCutTheRequestBeforeIt() throws Exception {
    CountDownLatch secondBroken = new CountDownLatch(1);
    upstream.setScript(
        call -> {
          if (isFor(call, "/read/2")) {
            call.reply(HALF);
            call.socket().close();
            secondBroken.countDown();
            return;
          }
          awaitQuietly(secondBroken);
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
          call.reply(ScriptedUpstream.OK);
        });
    try (DataPathFixture entry = DataPathFixture.to(upstream);
        Socket socket = entry.connect()) {
      send(socket, get("/read/1", "X-A: b") + get("/read/2", "X-A: b"));

      readUntil(socket, "\r\n\r\nok");
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  private static void sendAtTheIdleLimit(
      DataPathFixture entry, long end, AtomicInteger requests, Set<String> unanswered) {
    while (System.nanoTime() < end) {
      try (Socket socket = entry.connect()) {
        String id = "";
        try {
          while (true) {
            id = Integer.toString(requests.incrementAndGet());
            send(socket, GET.replace("a\r\n", "a\r\nX-Id: " + id + "\r\n"));
            readUntil(socket, "\r\n\r\nok");
            long spreadNanos = ThreadLocalRandom.current().nextInt(-700_000, 300_000);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(IDLE_MILLIS) + spreadNanos);
          }
        } catch (SocketException e) {
          unanswered.add(id);
        }
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
  }

  /** Reads up to a text; fails when the connection ends before it. */
  private static String readUntil(Socket socket, String end) throws IOException {
    StringBuilder read = new StringBuilder();
    while (!read.toString().endsWith(end)) {
      int b = socket.getInputStream().read();
      if (b < 0) {
        throw new SocketException("closed after " + read);
      }
      read.append((char) b);
    }
    return read.toString();
  }

  /** Waits for a time in which a request that is passed on would reach the upstream. */
  private void awaitSecondCall() {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(300);
    while (upstream.callCount() < 2 && System.nanoTime() < end) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    }
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean isFor(ScriptedUpstream.Call call, String path) {
    return call.head().startsWith("GET " + path);
  }

  private static String get(String path, String header) {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + header + "\r\n\r\n";
  }

  private static void closeAllAsIdle(DataPath dataPath) {
    dataPath.closeIdle(System.nanoTime() + TimeUnit.HOURS.toNanos(1));
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }
}
