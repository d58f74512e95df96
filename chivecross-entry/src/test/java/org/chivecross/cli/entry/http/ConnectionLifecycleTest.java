package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.peer.HeaderField;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.request.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests time-outs, back-pressure, silent connections, leaving and keys that other entries own. */
class ConnectionLifecycleTest {

  private static final String GET = "GET /read HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  private static final DataPathSettings SHORT_TIMEOUTS =
      new DataPathSettings(16_384, 100, 1L << 40, 200, 300, 250, 0);

  private ScriptedUpstream upstream;

  @BeforeEach
  void start() throws IOException {
    upstream = new ScriptedUpstream(call -> call.reply(ScriptedUpstream.OK));
  }

  @AfterEach
  void stop() throws IOException {
    upstream.close();
  }

  @Test
  void closesCallersThatSendNothingOrTooSlowly() throws Exception {
    try (DataPathFixture entry = new DataPathFixture(SHORT_TIMEOUTS, upstream.address());
        Socket idle = entry.connect();
        Socket slow = entry.connect()) {
      slow.getOutputStream().write("GET /read HTTP/1.1\r\nHos".getBytes(StandardCharsets.US_ASCII));

      assertEquals(-1, idle.getInputStream().read());
      assertEquals(-1, slow.getInputStream().read());
      assertEquals(0, upstream.connectionCount());
    }
  }

  @Test
  void closesIdleNeighboursOfSilentConnection() throws Exception {
    DataPathSettings settings = new DataPathSettings(16_384, 100, 1L << 40, 5_000, 60_000, 250, 0);
    try (DataPathFixture entry = new DataPathFixture(settings, upstream.address())) {
      CountDownLatch together = new CountDownLatch(3);
      upstream.setScript(
          call -> {
            together.countDown();
            awaitQuietly(together);
            call.reply(ScriptedUpstream.OK);
          });
      try (Socket one = send(entry, GET);
          Socket two = send(entry, GET);
          Socket three = send(entry, GET)) {
        for (Socket socket : List.of(one, two, three)) {
          assertTrue(readAll(socket).endsWith("ok"));
        }
      }
      assertEquals(3, upstream.connectionCount());

      upstream.setScript(
          call -> {
            if (call.connection() > 2) {
              call.reply(ScriptedUpstream.OK);
            }
          });
      try (Socket socket = send(entry, GET)) {
        assertTrue(readAll(socket).endsWith("ok"));
      }

      assertEquals(1, entry.observer().silentCount());
      assertEquals(2, entry.observer().suspectCount());
    }
  }

  @Test
  void stopsReadingFromCallerWhenTargetDoesNotReadBody() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    try (java.net.ServerSocket unread = new java.net.ServerSocket(0);
        DataPathFixture entry =
            new DataPathFixture(DataPathSettings.defaults(), "127.0.0.1:" + unread.getLocalPort());
        Socket socket = entry.connect()) {
      OutputStream out = socket.getOutputStream();
      out.write(
          ("PUT /upload HTTP/1.1\r\nHost: a\r\nChivecross-Deadline-Ms: 1500\r\n"
                  + "Content-Length: 1000000000\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      AtomicLong written = new AtomicLong();
      Thread writer =
          new Thread(
              () -> {
                byte[] block = new byte[64 * 1024];
                try {
                  while (true) {
                    out.write(block);
                    written.addAndGet(block.length);
                  }
                } catch (IOException e) {
                  done.countDown();
                }
              });
      writer.setDaemon(true);
      writer.start();

      String answer = readAll(socket);

      // Bound on the socket buffers of four ends plus the queue of the entry; the body is 1 GB.
      assertTrue(written.get() < 64_000_000, "took " + written.get());
      assertTrue(answer.startsWith("HTTP/1.1 504 "), answer);
    }
    done.await();
  }

  /**
   * A close after a response whose request began before the entry was leaving would lose a request
   * that the caller has sent on the connection in the meantime.
   */
  @Test
  void keepsConnectionOfRequestThatBeganBeforeLeaving() throws Exception {
    CountDownLatch leaving = new CountDownLatch(1);
    upstream.setScript(
        call -> {
          try {
            leaving.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          call.reply(ScriptedUpstream.OK);
        });
    try (DataPathFixture entry = DataPathFixture.to(upstream);
        Socket socket = send(entry, "GET /read HTTP/1.1\r\nHost: a\r\n\r\n")) {
      upstream.nextCall();
      entry.dataPath().startLeaving();
      leaving.countDown();
      entry.observer().nextSummary();
      socket
          .getOutputStream()
          .write("GET /read HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));

      assertEquals(2, readAll(socket).split("HTTP/1.1 200 OK", -1).length - 1);
    }
  }

  @Test
  void closesCallerConnectionAfterAnswerWhileLeaving() throws Exception {
    try (DataPathFixture entry = DataPathFixture.to(upstream);
        Socket socket = send(entry, "GET /read HTTP/1.1\r\nHost: a\r\n\r\n")) {
      upstream.nextCall();
      entry.dataPath().startLeaving();
      socket
          .getOutputStream()
          .write("GET /read HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));

      String answers = readAll(socket);

      assertEquals(2, answers.split("HTTP/1.1 200 OK", -1).length - 1);
      assertTrue(answers.toLowerCase().contains("connection: close"), answers);
      entry.observer().nextSummary();
      entry.observer().nextSummary();
      assertTrue(entry.dataPath().isDrained());
    }
  }

  @Test
  void reportsTimesOfAnsweredRequest() throws Exception {
    try (DataPathFixture entry = DataPathFixture.to(upstream)) {
      entry.exchange(GET);

      ExchangeSummary summary = entry.observer().nextSummary();

      assertEquals(Outcome.ANSWERED, summary.outcome());
      assertEquals(200, summary.status());
      assertEquals(1, summary.attempts());
      assertEquals(RequestClass.READ, summary.route().orElseThrow().requestClass());
      assertTrue(summary.upstreamNanos() > 0 && summary.addedNanos() > 0);
      assertTrue(summary.totalNanos() >= summary.upstreamNanos() + summary.addedNanos());
    }
  }

  @Test
  void forwardsRequestsWithForeignKeysToTheirOwner() throws Exception {
    String request =
        "POST /write?x=1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nIdempotency-Key: foreign-1\r\n"
            + "Content-Length: 2\r\n\r\nhi";
    try (DataPathFixture entry = DataPathFixture.to(upstream)) {
      String unreachable = entry.exchange(request);
      entry
          .owners()
          .answerWith(
              new KeyAnswer(
                  201,
                  List.of(new HeaderField("X-A", "b")),
                  "done".getBytes(StandardCharsets.US_ASCII)));
      String answered = entry.exchange(request);

      assertTrue(unreachable.contains("Chivecross-Outcome: unknown\r\n"), unreachable);
      assertTrue(answered.startsWith("HTTP/1.1 201 "), answered);
      assertTrue(answered.contains("X-A: b\r\n") && answered.endsWith("done"), answered);
      assertEquals(
          "hi", new String(entry.owners().calls().take().body(), StandardCharsets.US_ASCII));
      assertEquals("/write?x=1", entry.owners().calls().take().target());
      assertFalse(upstream.connectionCount() > 0);
    }
  }

  private static Socket send(DataPathFixture entry, String request) throws IOException {
    Socket socket = entry.connect();
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static String readAll(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static void awaitQuietly(CountDownLatch latch) throws IOException {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }
}
