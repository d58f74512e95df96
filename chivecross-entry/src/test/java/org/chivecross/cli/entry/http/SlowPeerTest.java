package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that what is buffered for callers and targets that read slowly stays within 8 MB. */
class SlowPeerTest {

  private static final int MB = 1 << 20;
  private static final long BOUND = 8 * MB;

  /** Most bytes that the kernel buffers for one connection here, of tcp_wmem and tcp_rmem. */
  private static final long KERNEL = 37 * MB;

  private static final String UPLOAD =
      "PUT /upload HTTP/1.1\r\nHost: a\r\nContent-Length: 360000\r\n\r\n";

  private final AtomicLong written = new AtomicLong();
  private ScriptedUpstream upstream;

  @BeforeEach
  void start() throws IOException {
    upstream = new ScriptedUpstream(call -> call.reply(ScriptedUpstream.OK));
  }

  @AfterEach
  void stop() throws IOException {
    upstream.close();
  }

  /** Guards against requests whose responses have no room, since their caller reads nothing. */
  @Test
  void pipelinedReadsOfACallerThatReadsNothingAreNotAskedFor() throws Exception {
    upstream.setScript(call -> replyWith(call, 60 * 1024));
    try (DataPathFixture entry = DataPathFixture.withBufferBudget(upstream.address());
        Socket socket = slowReader(entry)) {
      socket
          .getOutputStream()
          .write(get("/read", "keep-alive").repeat(1_000).getBytes(StandardCharsets.UTF_8));
      awaitStable(written);

      assertTrue(entry.dataPath().budget().heldBytes() <= BOUND);
      assertTrue(written.get() <= BOUND + KERNEL, written.toString());
      socket.getInputStream().readNBytes(1_000 * 60 * 1024);
      awaitStable(written);
      assertEquals(1_000 * 60 * 1024L, written.get());
    }
  }

  /** Guards against a large response that is kept whole behind the response to a slow request. */
  @Test
  void responseBehindASlowOneIsReadWithinTheBoundAndNotCut() throws Exception {
    CountDownLatch mayAnswer = new CountDownLatch(1);
    upstream.setScript(
        call -> {
          if (call.head().startsWith("GET /read/slow")) {
            awaitQuietly(mayAnswer);
            call.reply(ScriptedUpstream.OK);
          } else {
            replyWith(call, 60 * MB);
          }
        });
    try (DataPathFixture entry = DataPathFixture.withBufferBudget(upstream.address());
        Socket socket = slowReader(entry)) {
      String requests = get("/read/slow", "keep-alive") + get("/read/large", "close");
      send(socket, requests);
      awaitStable(written);

      assertTrue(entry.dataPath().budget().heldBytes() <= BOUND);
      assertTrue(written.get() <= BOUND + KERNEL, written.toString());
      mayAnswer.countDown();
      assertEquals(60 * MB, socket.getInputStream().readNBytes(60 * MB).length);
    }
  }

  /** Guards against many callers and uploads that exceed the total, though each has a limit. */
  @Test
  void responsesOfManySlowCallersStayWithinTheTotalAndAreNotCut() throws Exception {
    // What the kernel buffers for a caller is less than its response.
    int bytes = 6 * MB;
    upstream.setScript(call -> replyWith(call, bytes));
    List<Socket> callers = new ArrayList<>();
    ExecutorService pool = Executors.newCachedThreadPool();
    try (DataPathFixture entry = DataPathFixture.withBufferBudget(upstream.address())) {
      for (int i = 0; i < 32; i++) {
        Socket socket = slowReader(entry);
        callers.add(socket);
        send(socket, get("/read", "close"));
      }
      awaitStable(written);
      assertTrue(entry.dataPath().budget().heldBytes() > MB);
      for (int i = 0; i < 40; i++) {
        send(entry.connect(), UPLOAD);
      }
      assertTrue(mostHeld(entry) <= BOUND);
      assertTrue(entry.dataPath().budget().refusalCount() > 0);
      List<CompletableFuture<Integer>> read =
          callers.stream()
              .map(c -> CompletableFuture.supplyAsync(() -> read(c, bytes), pool))
              .toList();
      for (CompletableFuture<Integer> count : read) {
        assertEquals(bytes, count.join());
      }
    } finally {
      pool.shutdownNow();
    }
  }

  /** Guards against uploads that fill the memory while their target reads nothing. */
  @Test
  void uploadsThatHaveNoRoomAreRefusedAsNotRun() throws Exception {
    List<Socket> callers = new ArrayList<>();
    try (ServerSocket unread = new ServerSocket()) {
      unread.setReceiveBufferSize(4_096);
      unread.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
      try (DataPathFixture entry =
          DataPathFixture.withBufferBudget("127.0.0.1:" + unread.getLocalPort())) {
        for (int i = 0; i < 40; i++) {
          Socket socket = entry.connect();
          callers.add(socket);
          send(socket, UPLOAD);
          socket.getOutputStream().write(new byte[360_000]);
        }
        assertTrue(mostHeld(entry) <= BOUND);
        assertEquals(40 - BOUND * 3 / 4 / 360_000, entry.dataPath().budget().refusalCount());
        byte[] answer = callers.get(39).getInputStream().readAllBytes();
        String text = new String(answer, StandardCharsets.UTF_8);
        assertTrue(text.startsWith("HTTP/1.1 503 "), text);
        assertTrue(text.contains("Chivecross-Outcome: not-run"), text);
        assertTrue(text.contains("Retry-After: 1"), text);
      }
    }
  }

  private void replyWith(ScriptedUpstream.Call call, int bytes) throws IOException {
    call.reply("HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n");
    byte[] block = new byte[32 * 1024];
    for (int left = bytes; left > 0; left -= block.length) {
      int length = Math.min(block.length, left);
      call.socket().getOutputStream().write(block, 0, length);
      written.addAndGet(length);
    }
  }

  private static Socket slowReader(DataPathFixture entry) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    socket.connect(new java.net.InetSocketAddress("127.0.0.1", entry.uri("/").getPort()));
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  private static int read(Socket socket, int bytes) {
    try (socket) {
      return socket.getInputStream().readNBytes(bytes).length;
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Returns a request whose deadline is late enough to read its response on a busy machine. */
  private static String get(String path, String connection) {
    String head = "GET " + path + " HTTP/1.1\r\nHost: a\r\nChivecross-Deadline-Ms: 60000\r\n";
    return head + "Connection: " + connection + "\r\n\r\n";
  }

  /** Returns the most bytes held in one second. */
  private static long mostHeld(DataPathFixture entry) {
    long most = 0;
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
    while (System.nanoTime() < end) {
      most = Math.max(most, entry.dataPath().budget().heldBytes());
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
    }
    return most;
  }

  /** Waits until a count has not changed for half a second. */
  private static void awaitStable(AtomicLong count) {
    long last = -1;
    while (count.get() != last) {
      last = count.get();
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(500));
    }
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
