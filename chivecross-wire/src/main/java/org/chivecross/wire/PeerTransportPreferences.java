package org.chivecross.wire;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of {@link PeerTransport}. Immutable.
 *
 * @param listen address to listen on
 * @param deployment deployment name that all messages must carry
 * @param connectTimeout maximum time to establish a connection
 * @param idleTimeout time without a message in either direction after which a connection is closed
 */
public record PeerTransportPreferences(
    InetSocketAddress listen, String deployment, Duration connectTimeout, Duration idleTimeout) {

  /** Maximum frame size in bytes: a platform value or a forwarded body, with its metadata. */
  public static final int MAX_FRAME_BYTES = 2 << 20;

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  /** Returns the default settings. */
  public static PeerTransportPreferences standard(InetSocketAddress listen, String deployment) {
    return new PeerTransportPreferences(listen, deployment, CONNECT_TIMEOUT, IDLE_TIMEOUT);
  }
}
