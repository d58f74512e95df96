package org.chivecross.logic.peer;

import org.chivecross.model.peer.PeerMessage;

/** Sends messages to other entries. Messages may be lost or reordered. */
@FunctionalInterface
public interface PeerOutbox {

  /**
   * Sends a message.
   *
   * @param peerAddress {@code ip:port} of the receiver
   */
  void send(String peerAddress, PeerMessage message);

  /**
   * Makes the next message to a peer use a new connection, since the present one gives no answer.
   */
  default void reset(String peerAddress) {}
}
