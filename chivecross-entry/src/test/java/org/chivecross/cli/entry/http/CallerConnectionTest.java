package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
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

  private SocketChannel channel;
  private CallerConnection caller;

  @BeforeEach
  void open() throws IOException {
    channel = SocketChannel.open();
    caller =
        new CallerConnection(
            new TCPNIOConnection(TCPNIOTransportBuilder.newInstance().build(), channel), 0);
  }

  @AfterEach
  void close() throws IOException {
    channel.close();
  }

  @Test
  void requestIsNotSentOnOnceTheConnectionIsBeingClosed() {
    assertTrue(caller.expire(IDLE, HEAD, LINGER, IDLE + 1));
    assertFalse(caller.begin(new FakeExchange()));
    assertEquals(0, caller.openExchanges().size());
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

  /** An exchange without a request. */
  private static final class FakeExchange implements CallerExchange {

    @Override
    public HttpRequestPacket request() {
      throw new UnsupportedOperationException();
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
    public void writeAllowed() {}

    @Override
    public void callerClosed() {}
  }
}
