package org.chivecross.wire;

import org.chivecross.model.peer.PeerMessage;
import org.chivecross.model.peer.PeerMessage.Sender;

/** Takes messages of other entries. Called on threads of the transport; must not block. */
@FunctionalInterface
public interface PeerListener {

  /**
   * A message arrived.
   *
   * @param link connection that it came on
   */
  void received(PeerLink link, Sender sender, PeerMessage message);
}
