package org.chivecross.model.peer;

import java.util.List;
import org.chivecross.model.manifest.ConfigVersion;

/** A message between two entries. Immutable; byte arrays must not be changed. */
public sealed interface PeerMessage {

  /** Sender of a message; every message carries its incarnation and peer address. */
  record Sender(long incarnation, String peerAddress) {}

  /**
   * Asks for an {@link Ack}.
   *
   * @param nonce number that the answer repeats
   * @param tableDigest digest of the sender's entry table
   * @param offer versions that the sender holds
   */
  record Ping(long nonce, long tableDigest, ConfigOffer offer) implements PeerMessage {}

  /**
   * Answer to a {@link Ping}; for an {@link IndirectPing} it is relayed with the requester's nonce.
   *
   * @param nonce number from the ping
   * @param subject incarnation that answered
   * @param tableDigest digest of the entry table of the entry that answered the ping
   * @param offer versions that the entry that answered the ping holds
   */
  record Ack(long nonce, long subject, long tableDigest, ConfigOffer offer)
      implements PeerMessage {}

  /**
   * Asks the receiver to ping the subject and to relay the answer.
   *
   * @param nonce number that the answer repeats
   * @param subject incarnation to ping
   */
  record IndirectPing(long nonce, long subject) implements PeerMessage {}

  /**
   * Claims that changed the sender's table.
   *
   * @param members the claims
   */
  record MemberUpdate(List<EntryMember> members) implements PeerMessage {
    public MemberUpdate {
      members = List.copyOf(members);
    }
  }

  /**
   * The sender's complete table; requests the receiver's table (anti-entropy).
   *
   * @param members all claims of the sender
   */
  record SyncRequest(List<EntryMember> members) implements PeerMessage {
    public SyncRequest {
      members = List.copyOf(members);
    }
  }

  /**
   * Answer to a {@link SyncRequest}.
   *
   * @param members all claims of the sender
   * @param offer versions that the sender holds
   */
  record SyncResponse(List<EntryMember> members, ConfigOffer offer) implements PeerMessage {
    public SyncResponse {
      members = List.copyOf(members);
    }
  }

  /**
   * Announces the versions that the sender holds.
   *
   * @param offer the versions
   */
  record Offer(ConfigOffer offer) implements PeerMessage {}

  /**
   * Requests a manifest or a file.
   *
   * @param version version of the set
   * @param digest SHA-256 digest of the file; empty for the manifest
   */
  record ConfigRequest(ConfigVersion version, String digest) implements PeerMessage {}

  /**
   * Answer to a {@link ConfigRequest}.
   *
   * @param version version of the set
   * @param digest digest from the request
   * @param found whether the sender holds the content
   * @param content the bytes; empty when not found
   */
  record ConfigContent(ConfigVersion version, String digest, boolean found, byte[] content)
      implements PeerMessage {}

  /**
   * Targets that were seen leaving.
   *
   * @param marks the targets
   */
  record LeavingMarks(List<LeavingMark> marks) implements PeerMessage {
    public LeavingMarks {
      marks = List.copyOf(marks);
    }
  }

  /**
   * A call about an idempotency key, sent to the entry that owns it.
   *
   * @param call number that the answer repeats
   * @param owner incarnation that the call is for
   * @param body the call
   * @param remainingMillis time left until the deadline of the call, in ms
   */
  record KeyRequest(long call, long owner, KeyCall body, long remainingMillis)
      implements PeerMessage {}

  /**
   * Answer to a {@link KeyRequest}.
   *
   * @param call number from the request
   * @param answer the answer
   */
  record KeyResponse(long call, KeyAnswer answer) implements PeerMessage {}
}
