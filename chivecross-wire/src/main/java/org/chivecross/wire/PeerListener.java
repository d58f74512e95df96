package org.chivecross.wire;

import org.chivecross.model.peer.PeerMessage;
import org.chivecross.model.peer.PeerMessage.Sender;

/** Receives messages of other entries on threads of the transport; must not block. */
@FunctionalInterface
public interface PeerListener {

  /**
   * Called for each received message.
   *
   * @param link connection on which the message was received
   */
  void received(PeerLink link, Sender sender, PeerMessage message);
}
