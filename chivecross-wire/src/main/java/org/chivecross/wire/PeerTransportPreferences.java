package org.chivecross.wire;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the transport. Immutable.
 *
 * @param listen address to listen on
 * @param deployment name that all messages must carry
 * @param connectTimeout longest wait for a new connection
 * @param idleTimeout time without a message after which a connection is closed
 */
public record PeerTransportPreferences(
    InetSocketAddress listen, String deployment, Duration connectTimeout, Duration idleTimeout) {

  /** Most bytes of one frame: a value of the platform or a passed body, and what goes with it. */
  public static final int MAX_FRAME_BYTES = 2 << 20;

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  /** Returns the settings that entries use. */
  public static PeerTransportPreferences standard(InetSocketAddress listen, String deployment) {
    return new PeerTransportPreferences(listen, deployment, CONNECT_TIMEOUT, IDLE_TIMEOUT);
  }
}
