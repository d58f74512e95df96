package org.chivecross.cli.simulation;

import java.util.List;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.PeerMessage;

/** Estimates of the encoded sizes of peer messages on the wire, in bytes. Stateless. */
final class MessageSizes {

  /** Length, deployment, incarnation, TLS record and TCP/IP headers of a message. */
  private static final int FRAME_BYTES = 110;

  private static final int SMALL_BODY_BYTES = 40;
  private static final int MEMBER_BYTES = 80;

  private MessageSizes() {}

  static int bytes(PeerMessage message) {
    if (message instanceof PeerMessage.MemberUpdate update) {
      return members(update.members());
    }
    if (message instanceof PeerMessage.SyncRequest request) {
      return members(request.members());
    }
    if (message instanceof PeerMessage.SyncResponse response) {
      return members(response.members());
    }
    if (message instanceof PeerMessage.ConfigContent content) {
      return FRAME_BYTES + SMALL_BODY_BYTES + content.content().length;
    }
    return FRAME_BYTES + SMALL_BODY_BYTES;
  }

  private static int members(List<EntryMember> members) {
    return FRAME_BYTES + MEMBER_BYTES * members.size();
  }
}
