package org.chivecross.wire;

import org.chivecross.model.peer.PeerMessage;

/** The connection on which a message was received. Safe for use by many threads. */
@FunctionalInterface
public interface PeerLink {

  /** Sends a reply on the same connection. */
  void send(PeerMessage message);
}
