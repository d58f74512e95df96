package org.chivecross.logic.peer;

import org.chivecross.model.peer.PeerMessage;

/** Takes messages to other entries. Delivery is not promised and order not kept. */
@FunctionalInterface
public interface PeerOutbox {

  /**
   * Sends a message.
   *
   * @param peerAddress {@code ip:port} of the receiver
   */
  void send(String peerAddress, PeerMessage message);

  /** The connection to a peer gives no answer: the next message must take a new one. */
  default void reset(String peerAddress) {}
}
