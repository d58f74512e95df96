package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.chivecross.model.request.Outcome;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the close of a connection on which a request arrives at the same moment. */
class CallerConnectionTest {

  private static final long IDLE = 1_000;
  private static final long HEAD = 300;
  private static final long LINGER = 2_000;

  private final List<Cut> cuts = new ArrayList<>();
  private SocketChannel channel;
  private CallerConnection caller;

  @BeforeEach
  void open() throws IOException {
    channel = SocketChannel.open();
    caller =
        new CallerConnection(
            new TCPNIOConnection(TCPNIOTransportBuilder.newInstance().build(), channel),
            (request, reason, outcome) -> cuts.add(new Cut(request, reason, outcome)),
            0);
  }

  @AfterEach
  void close() throws IOException {
    channel.close();
  }

  @Test
  void requestIsNotSentOnOnceTheConnectionIsBeingClosed() {
    assertTrue(caller.expire(IDLE, HEAD, LINGER, IDLE + 1));
    assertFalse(caller.begin(new FakeExchange()));
    assertTrue(caller.isIdle());
  }

  @Test
  void connectionWithARequestIsNotClosed() {
    assertTrue(caller.begin(new FakeExchange()));
    assertFalse(caller.expire(IDLE, HEAD, LINGER, 10 * IDLE));
  }

  @Test
  void connectionWithAnIncompleteHeadIsClosed() {
    caller.headIncomplete(10);
    assertFalse(caller.expire(IDLE, HEAD, LINGER, HEAD));
    assertTrue(caller.expire(IDLE, HEAD, LINGER, HEAD + 11));
    assertFalse(caller.begin(new FakeExchange()));
  }

  /** At the end of a planned stop a request may arrive between the last check and the close. */
  @Test
  void connectionClosedAtTheEndOfAStopTakesNoFurtherRequest() {
    assertTrue(caller.closeIfIdle());
    assertFalse(caller.begin(new FakeExchange()));
  }

  @Test
  void connectionWithARequestOutlivesTheFirstCheckOfAStop() {
    assertTrue(caller.begin(new FakeExchange()));
    assertFalse(caller.closeIfIdle());
  }

  /** Guards against an exchange that begins after a close and is never told of it. */
  @Test
  void connectionThatTheLibraryClosedTakesNoFurtherRequest() {
    assertEquals(List.of(), caller.closed(CloseReason.LIBRARY));
    assertFalse(caller.begin(new FakeExchange()));
  }

  @Test
  void requestThatIsReadAfterTheDecisionToCloseIsReported() {
    FakeExchange refused = new FakeExchange();
    assertTrue(caller.expire(IDLE, HEAD, LINGER, IDLE + 1));
    caller.reportRefused(refused.request());
    assertEquals(List.of(refused.cut(CloseReason.IDLE, Outcome.NOT_RUN)), cuts);
  }

  @Test
  void requestsThatACloseByTheLibraryCutsAreReported() {
    FakeExchange running = new FakeExchange();
    FakeExchange answered = new FakeExchange();
    assertTrue(caller.begin(running));
    assertTrue(caller.begin(answered));
    caller.end(answered, Outcome.ANSWERED, 1);
    assertEquals(List.of(running, answered), caller.closed(CloseReason.LIBRARY));
    caller.end(running, Outcome.UNKNOWN, 2);
    assertEquals(
        List.of(
            answered.cut(CloseReason.LIBRARY, Outcome.ANSWERED),
            running.cut(CloseReason.LIBRARY, Outcome.UNKNOWN)),
        cuts);
  }

  @Test
  void abortedResponseIsReportedOnce() {
    FakeExchange aborted = new FakeExchange();
    assertTrue(caller.begin(aborted));
    caller.noteCloseReason(CloseReason.RESPONSE_ABORTED);
    assertEquals(List.of(aborted), caller.closed(CloseReason.LIBRARY));
    caller.end(aborted, Outcome.UNKNOWN, 1);
    assertEquals(List.of(aborted.cut(CloseReason.RESPONSE_ABORTED, Outcome.UNKNOWN)), cuts);
  }

  @Test
  void closesAfterTheLastResponseAndByTheCallerAreNotReported() {
    FakeExchange answered = new FakeExchange();
    assertTrue(caller.begin(answered));
    caller.noteCloseReason(CloseReason.LAST_RESPONSE);
    assertEquals(List.of(answered), caller.closed(CloseReason.LIBRARY));
    caller.end(answered, Outcome.ANSWERED, 1);

    CallerConnection other =
        new CallerConnection(
            caller.connection(),
            (request, reason, outcome) -> cuts.add(new Cut(request, reason, outcome)),
            0);
    assertTrue(other.begin(answered));
    assertEquals(List.of(answered), other.closed(CloseReason.CALLER));
    other.end(answered, Outcome.UNKNOWN, 1);
    assertEquals(List.of(), cuts);
  }

  /** Guards against a response that is never sent since its exchange ended just in its turn. */
  @Test
  void exchangeThatEndsWhileItIsToldThatItMayWriteStillWrites() {
    List<Boolean> mayWrite = new ArrayList<>();
    FakeExchange first = new FakeExchange();
    FakeExchange second = new FakeExchange();
    FakeExchange third = new FakeExchange();
    second.onAllowed =
        () -> {
          caller.end(second, Outcome.ANSWERED, 1);
          mayWrite.add(caller.mayWrite(second));
          mayWrite.add(caller.mayWrite(third));
        };
    assertTrue(caller.begin(first));
    assertTrue(caller.begin(second));
    assertTrue(caller.begin(third));
    caller.end(first, Outcome.ANSWERED, 1);

    assertEquals(List.of(true, false), mayWrite);
    assertTrue(caller.mayWrite(third));
    caller.end(third, Outcome.ANSWERED, 2);
    assertTrue(caller.isIdle());
  }

  /** A request without an answer, as it was reported. */
  private record Cut(HttpRequestPacket request, CloseReason reason, Outcome outcome) {}

  /** An exchange that does nothing. */
  private static final class FakeExchange implements CallerExchange {

    private final HttpRequestPacket request =
        HttpRequestPacket.builder().method("GET").uri("/").protocol(Protocol.HTTP_1_1).build();

    private Runnable onAllowed = () -> {};

    FakeExchange() {
      request.getProcessingState().setKeepAlive(true);
    }

    Cut cut(CloseReason reason, Outcome outcome) {
      return new Cut(request, reason, outcome);
    }

    @Override
    public HttpRequestPacket request() {
      return request;
    }

    @Override
    public boolean received(HttpContent content) {
      return true;
    }

    @Override
    public boolean isRequestComplete() {
      return true;
    }

    @Override
    public boolean suspendReader(FilterChainContext context) {
      return false;
    }

    @Override
    public void bodyBroken() {}

    @Override
    public void writeAllowed() {
      onAllowed.run();
    }

    @Override
    public void failedUnexpectedly() {}

    @Override
    public void callerClosed() {}
  }
}
