package org.chivecross.wire;

import java.util.List;
import java.util.Optional;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.ConfigOffer;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.HeaderField;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;
import org.chivecross.model.peer.KeyOperation;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.model.peer.MemberState;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.wire.generated.Envelope;
import org.chivecross.wire.generated.Header;
import org.chivecross.wire.generated.KeyRequest;
import org.chivecross.wire.generated.KeyResponse;
import org.chivecross.wire.generated.Member;
import org.chivecross.wire.generated.Version;

/**
 * Decodes and checks messages in Protobuf envelopes. Immutable and safe for use by many threads.
 *
 * <p>Invariant: a message of an unknown kind is ignored without a failure, so that entries of a
 * newer release can run in the same deployment.
 */
final class MessageReader {

  private static final int MAX_TEXT_CHARACTERS = 256;

  private final String deployment;

  MessageReader(String deployment) {
    this.deployment = deployment;
  }

  /** Checks the deployment, protocol version and sender, which every envelope must carry. */
  Result<Envelope> checkEnvelope(Envelope envelope, String peer) {
    if (!envelope.getDeployment().equals(deployment)) {
      return Result.failed(
          Step.PEER_MESSAGE,
          peer,
          "message of another deployment, \"" + envelope.getDeployment() + "\"");
    }
    if (envelope.getProtocol() == 0 || envelope.getSender() == 0) {
      return Result.failed(Step.PEER_MESSAGE, peer, "message without protocol version or sender");
    }
    return Result.success(envelope);
  }

  /** Decodes the hello, the first envelope of a connection, into the claim of its sender. */
  Result<EntryMember> readHello(Envelope envelope, String peer) {
    if (!envelope.hasHello()) {
      return Result.failed(
          Step.PEER_MESSAGE, peer, "the first message of the connection is not a hello");
    }
    Member member = envelope.getHello().getSelf();
    try {
      EntryMember self = checkedMember(member);
      if (self.incarnation() == envelope.getSender()) {
        return Result.success(self);
      }
    } catch (IllegalArgumentException e) {
      return Result.failed(Step.PEER_MESSAGE, peer, "invalid hello: " + e.getMessage());
    }
    return Result.failed(
        Step.PEER_MESSAGE, peer, "the hello and its envelope name different senders");
  }

  /** Decodes a message; empty if this release does not support its kind. */
  Result<Optional<PeerMessage>> read(Envelope envelope, String peer) {
    try {
      return Result.success(toMessage(envelope));
    } catch (IllegalArgumentException e) {
      return Result.failed(Step.PEER_MESSAGE, peer, "invalid message: " + e.getMessage());
    }
  }

  private static Optional<PeerMessage> toMessage(Envelope envelope) {
    return switch (envelope.getBodyCase()) {
      case PING ->
          Optional.of(
              new PeerMessage.Ping(
                  envelope.getPing().getNonce(),
                  envelope.getPing().getTableDigest(),
                  offer(envelope.getPing().getOffer())));
      case ACK ->
          Optional.of(
              new PeerMessage.Ack(
                  envelope.getAck().getNonce(),
                  envelope.getAck().getSubject(),
                  envelope.getAck().getTableDigest(),
                  offer(envelope.getAck().getOffer())));
      case INDIRECT_PING ->
          Optional.of(
              new PeerMessage.IndirectPing(
                  envelope.getIndirectPing().getNonce(), envelope.getIndirectPing().getSubject()));
      case MEMBER_UPDATE ->
          Optional.of(
              new PeerMessage.MemberUpdate(members(envelope.getMemberUpdate().getMembersList())));
      case SYNC_REQUEST ->
          Optional.of(
              new PeerMessage.SyncRequest(members(envelope.getSyncRequest().getMembersList())));
      case SYNC_RESPONSE ->
          Optional.of(
              new PeerMessage.SyncResponse(
                  members(envelope.getSyncResponse().getMembersList()),
                  offer(envelope.getSyncResponse().getOffer())));
      case LEAVING_MARKS -> Optional.of(leavingMarks(envelope));
      case CONFIG_OFFER -> Optional.of(new PeerMessage.Offer(offer(envelope.getConfigOffer())));
      case CONFIG_REQUEST ->
          Optional.of(
              new PeerMessage.ConfigRequest(
                  version(envelope.getConfigRequest().getVersion()),
                  envelope.getConfigRequest().getDigest()));
      case CONFIG_CONTENT ->
          Optional.of(
              new PeerMessage.ConfigContent(
                  version(envelope.getConfigContent().getVersion()),
                  envelope.getConfigContent().getDigest(),
                  envelope.getConfigContent().getFound(),
                  envelope.getConfigContent().getContent().toByteArray()));
      case KEY_REQUEST -> Optional.of(keyRequest(envelope.getKeyRequest()));
      case KEY_RESPONSE -> Optional.of(keyResponse(envelope.getKeyResponse()));
      default -> Optional.empty();
    };
  }

  private static List<EntryMember> members(List<Member> members) {
    return members.stream().map(MessageReader::checkedMember).toList();
  }

  private static EntryMember checkedMember(Member member) {
    EntryMember decoded = member(member);
    if (!isValid(decoded)) {
      throw new IllegalArgumentException("invalid member " + decoded);
    }
    return decoded;
  }

  private static boolean isValid(EntryMember member) {
    return member.incarnation() != 0
        && hasAllowedLength(member.peerAddress())
        && hasAllowedLength(member.clientAddress())
        && hasAllowedLength(member.dataCentre());
  }

  private static boolean hasAllowedLength(String text) {
    return !text.isEmpty() && text.length() <= MAX_TEXT_CHARACTERS;
  }

  private static EntryMember member(Member member) {
    EntryFlags flags =
        new EntryFlags(
            member.getLeaving(),
            member.getReady(),
            member.getOverloaded(),
            member.getPlatformUnreachable());
    return new EntryMember(
        member.getIncarnation(),
        member.getPeerAddress(),
        member.getClientAddress(),
        member.getDataCentre(),
        member.getSequence(),
        state(member.getStateValue()),
        flags);
  }

  private static MemberState state(int number) {
    for (MemberState state : MemberState.values()) {
      if (state.rank() == number) {
        return state;
      }
    }
    throw new IllegalArgumentException("unknown member state " + number);
  }

  private static ConfigOffer offer(org.chivecross.wire.generated.ConfigOffer offer) {
    return new ConfigOffer(version(offer.getInForce()), version(offer.getNewest()));
  }

  private static ConfigVersion version(Version version) {
    return new ConfigVersion(version.getEpoch(), version.getRevision());
  }

  private static PeerMessage leavingMarks(Envelope envelope) {
    return new PeerMessage.LeavingMarks(
        envelope.getLeavingMarks().getMarksList().stream()
            .map(mark -> new LeavingMark(mark.getTarget(), mark.getAgeMillis()))
            .toList());
  }

  private static PeerMessage keyRequest(KeyRequest request) {
    KeyOperation operation = KeyOperation.ofNumber(request.getOperationValue());
    KeyCall call =
        new KeyCall(
            operation,
            request.getKey(),
            request.getMethod(),
            request.getTarget(),
            headers(request.getHeadersList()),
            request.getBody().toByteArray());
    return new PeerMessage.KeyRequest(
        request.getCall(),
        request.getOwner(),
        call,
        Integer.toUnsignedLong(request.getRemainingMillis()));
  }

  private static PeerMessage keyResponse(KeyResponse response) {
    return new PeerMessage.KeyResponse(
        response.getCall(),
        new KeyAnswer(
            response.getStatus(),
            headers(response.getHeadersList()),
            response.getBody().toByteArray()));
  }

  private static List<HeaderField> headers(List<Header> headers) {
    return headers.stream()
        .map(header -> new HeaderField(header.getName(), header.getValue()))
        .toList();
  }
}
