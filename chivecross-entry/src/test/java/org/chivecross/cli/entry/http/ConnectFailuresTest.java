package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.ServerSocket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeoutException;
import org.chivecross.model.request.ConnectionFault;
import org.junit.jupiter.api.Test;

class ConnectFailuresTest {

  @Test
  void portWithoutListenerRefuses() throws IOException {
    int port;
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = server.getLocalPort();
    }
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    IOException cause = assertThrows(IOException.class, () -> SocketChannel.open(address).close());
    assertEquals(ConnectionFault.REFUSED, ConnectFailures.faultOf(cause));
    // The text of the system depends on its language.
    assertFault(ConnectionFault.REFUSED, new ConnectException("Verbindungsaufbau abgelehnt"));
  }

  @Test
  void targetThatIsNotReachedIsTimedOut() {
    assertFault(ConnectionFault.CONNECT_TIMEOUT, new SocketTimeoutException());
    assertFault(ConnectionFault.CONNECT_TIMEOUT, new TimeoutException());
    assertFault(ConnectionFault.CONNECT_TIMEOUT, new ConnectException("Connection timed out"));
    assertFault(ConnectionFault.CONNECT_TIMEOUT, new NoRouteToHostException("No route to host"));
    assertFault(ConnectionFault.CONNECT_TIMEOUT, new SocketException("Network is unreachable"));
  }

  /** Guards against a lack of this entry, such as of descriptors, that is blamed on targets. */
  @Test
  void faultsOfThisEntryAreLocal() {
    assertFault(ConnectionFault.LOCAL, new SocketException("Too many open files"));
    assertFault(ConnectionFault.LOCAL, new BindException("Cannot assign requested address"));
    assertFault(ConnectionFault.LOCAL, new ClosedChannelException());
    assertFault(ConnectionFault.LOCAL, new IllegalStateException("transport is stopped"));
    assertFault(ConnectionFault.LOCAL, new CancellationException());
  }

  private static void assertFault(ConnectionFault expected, Exception cause) {
    assertEquals(expected, ConnectFailures.faultOf(cause), cause.toString());
  }
}
