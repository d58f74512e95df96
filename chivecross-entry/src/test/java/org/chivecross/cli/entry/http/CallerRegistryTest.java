package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.Test;

/** Tests connections that are accepted at the end of a planned stop. */
class CallerRegistryTest {

  private final CallerRegistry callers =
      new CallerRegistry(DataPathSettings.defaults(), (request, reason, outcome) -> {});

  /** Guards against a request on a connection accepted after the last check of a planned stop. */
  @Test
  void connectionAcceptedAfterAllIdleOnesWereClosedTakesNoRequest() throws IOException {
    assertTrue(isOpenAfterAdding());
    assertEquals(1, callers.count());
    callers.closeAllIdle();
    assertFalse(isOpenAfterAdding());
  }

  /** Adds a connection and returns whether it takes requests. */
  private boolean isOpenAfterAdding() throws IOException {
    try (SocketChannel channel = SocketChannel.open()) {
      TCPNIOConnection connection =
          new TCPNIOConnection(TCPNIOTransportBuilder.newInstance().build(), channel);
      callers.add(connection, 0);
      return !callers.of(connection).orElseThrow().expire(1, 1, 1, 0);
    }
  }
}
