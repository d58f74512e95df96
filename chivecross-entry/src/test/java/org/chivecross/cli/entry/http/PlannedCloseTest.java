package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests callers that read slowly, or send more, while an entry ends in a planned stop. */
class PlannedCloseTest {

  /** More than fits into the buffers of both sockets, in responses of one part each. */
  private static final int MANY = 3_000;

  private static final int SMALL_BODY = 4 * 1024;

  /** More than the receive buffer of the caller takes, less than the send buffer of the entry. */
  private static final int LARGE_BODY = 64 * 1024;

  private static final int RECEIVE_BUFFER = 4 * 1024;

  private ScriptedUpstream upstream;
  private DataPathFixture entry;

  @BeforeEach
  void start() throws IOException {
    upstream = new ScriptedUpstream(call -> call.reply(response(SMALL_BODY)));
    entry = DataPathFixture.to(upstream);
  }

  @AfterEach
  void stop() throws IOException {
    entry.close();
    upstream.close();
  }

  /** Guards against an entry that counts as drained while a caller's responses are queued. */
  @Test
  void responsesAreWrittenToASlowCallerBeforeTheEnd() throws Exception {
    try (Socket socket = connect()) {
      sendMany(socket, "");
      entry.dataPath().startLeaving();
      boolean isDrained = entry.dataPath().closeIfDrained();
      CompletableFuture<Void> ended = CompletableFuture.runAsync(this::endWhenDrained);
      String read = read(socket);

      assertEquals(MANY, count(read, "HTTP/1.1 200 "));
      assertFalse(isDrained);
      ended.get(10, TimeUnit.SECONDS);
    }
  }

  /** Guards against answers to the last requests that are dropped by the end that caused them. */
  @Test
  void answersThatTheEndGivesAreWritten() throws Exception {
    CountDownLatch isWriteAtWork = new CountDownLatch(1);
    upstream.setScript(
        call -> {
          if (call.head().startsWith("POST /write ")) {
            isWriteAtWork.countDown();
          } else {
            call.reply(response(SMALL_BODY));
          }
        });
    try (Socket socket = connect()) {
      sendMany(
          socket,
          "POST /write HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
              + "PUT /upload HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf");
      assertTrue(isWriteAtWork.await(10, TimeUnit.SECONDS));
      entry.dataPath().startLeaving();
      CompletableFuture<Void> ended = CompletableFuture.runAsync(this::end);
      String read = read(socket);

      assertEquals(MANY, count(read, "HTTP/1.1 200 "));
      assertEquals(1, count(read, "HTTP/1.1 502 "));
      assertEquals(1, count(read, "HTTP/1.1 503 "));
      ended.get(10, TimeUnit.SECONDS);
    }
  }

  /** Guards against a reset by the caller's next request, which destroys the last response. */
  @Test
  void lastResponseSurvivesARequestBehindIt() throws Exception {
    upstream.setScript(call -> call.reply(response(LARGE_BODY)));
    entry.dataPath().startLeaving();
    try (Socket socket = connect()) {
      send(socket, get());
      entry.observer().nextSummary();
      sendMore(socket);

      assertWhole(read(socket));
    }
  }

  /** Guards against the same reset where the entry ends while the connection is idle. */
  @Test
  void responseSurvivesARequestBehindTheCloseOfAnIdleConnection() throws Exception {
    upstream.setScript(call -> call.reply(response(LARGE_BODY)));
    try (Socket socket = connect()) {
      send(socket, get());
      entry.observer().nextSummary();
      entry.dataPath().startLeaving();
      CompletableFuture<Void> ended = CompletableFuture.runAsync(this::endWhenDrained);
      sendMore(socket);

      assertWhole(read(socket));
      ended.get(10, TimeUnit.SECONDS);
    }
  }

  /** Guards against requests that are read, and cut, while the end is busy with others. */
  @Test
  void idleConnectionsAreClosedBeforeRequestsInFlightAreEnded() throws Exception {
    upstream.setScript(call -> {});
    CountDownLatch isIdleClosed = new CountDownLatch(1);
    try (Socket idle = connect();
        Socket running = connect()) {
      send(running, "POST /write HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
      upstream.nextCall();
      entry.observer().whenEnded(() -> awaitUnchecked(isIdleClosed));
      CompletableFuture<Void> ended = CompletableFuture.runAsync(this::end);

      assertEquals(-1, idle.getInputStream().read());
      isIdleClosed.countDown();
      assertTrue(read(running).startsWith("HTTP/1.1 502 "));
      ended.get(10, TimeUnit.SECONDS);
    } finally {
      isIdleClosed.countDown();
    }
  }

  private static void awaitUnchecked(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends many requests whose responses this caller doesn't read, then the last ones. */
  private void sendMany(Socket socket, String last) throws Exception {
    send(socket, get().repeat(MANY) + last);
    for (int i = 0; i < MANY; i++) {
      entry.observer().nextSummary();
    }
  }

  private void endWhenDrained() {
    while (!entry.dataPath().closeIfDrained()) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    }
    end();
  }

  /** Ends the data path, with more time than a slow machine needs here. */
  private void end() {
    try {
      entry.dataPath().stop(System.nanoTime() + TimeUnit.SECONDS.toNanos(10));
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Sends requests for a time in which the entry would have closed the connection. */
  private static void sendMore(Socket socket) throws IOException {
    for (int i = 0; i < 20; i++) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
      send(socket, get());
    }
  }

  private void assertWhole(String read) {
    assertTrue(read.endsWith("\r\n\r\n" + "b".repeat(LARGE_BODY)), read.length() + " bytes");
    assertEquals(1, upstream.callCount());
  }

  /** Reads to the end of the connection; a reset fails. */
  private static String read(Socket socket) throws IOException {
    String read = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    socket.close();
    return read;
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER);
    socket.connect(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), entry.uri("/").getPort()));
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String get() {
    return "GET /read HTTP/1.1\r\nHost: a\r\n\r\n";
  }

  private static String response(int length) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + "b".repeat(length);
  }

  private static int count(String text, String part) {
    return text.split(part, -1).length - 1;
  }
}
