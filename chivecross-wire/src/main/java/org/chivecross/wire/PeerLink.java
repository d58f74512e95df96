package org.chivecross.wire;

import org.chivecross.model.peer.PeerMessage;

/** The connection that a message came on. Safe for use by many threads. */
@FunctionalInterface
public interface PeerLink {

  /** Sends a message back on the same connection. */
  void send(PeerMessage message);
}
