package org.chivecross.wire;

import com.google.protobuf.ByteString;
import java.util.List;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.ConfigOffer;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.HeaderField;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.wire.generated.Ack;
import org.chivecross.wire.generated.ConfigContent;
import org.chivecross.wire.generated.ConfigRequest;
import org.chivecross.wire.generated.Envelope;
import org.chivecross.wire.generated.Header;
import org.chivecross.wire.generated.Hello;
import org.chivecross.wire.generated.IndirectPing;
import org.chivecross.wire.generated.KeyOperation;
import org.chivecross.wire.generated.KeyRequest;
import org.chivecross.wire.generated.KeyResponse;
import org.chivecross.wire.generated.LeavingMarks;
import org.chivecross.wire.generated.Member;
import org.chivecross.wire.generated.MemberState;
import org.chivecross.wire.generated.MemberUpdate;
import org.chivecross.wire.generated.Ping;
import org.chivecross.wire.generated.SyncRequest;
import org.chivecross.wire.generated.SyncResponse;
import org.chivecross.wire.generated.Version;

/** Encodes messages into Protobuf envelopes. Immutable and safe for use by many threads. */
final class MessageWriter {

  /** Version of the protocol between entries, carried by every envelope. */
  static final int PROTOCOL_VERSION = 1;

  private final String deployment;
  private final long incarnation;

  MessageWriter(String deployment, long incarnation) {
    this.deployment = deployment;
    this.incarnation = incarnation;
  }

  /** Returns the hello, the first envelope of a connection. */
  Envelope writeHello(EntryMember self) {
    return envelope().setHello(Hello.newBuilder().setSelf(member(self))).build();
  }

  /** Returns the envelope that carries a message. */
  Envelope write(PeerMessage message) {
    Envelope.Builder envelope = envelope();
    if (message instanceof PeerMessage.KeyRequest request) {
      envelope.setKeyRequest(keyRequest(request));
    } else if (message instanceof PeerMessage.KeyResponse response) {
      envelope.setKeyResponse(keyResponse(response));
    } else if (message instanceof PeerMessage.ConfigRequest request) {
      envelope.setConfigRequest(
          ConfigRequest.newBuilder()
              .setVersion(version(request.version()))
              .setDigest(request.digest()));
    } else if (message instanceof PeerMessage.ConfigContent content) {
      envelope.setConfigContent(
          ConfigContent.newBuilder()
              .setVersion(version(content.version()))
              .setDigest(content.digest())
              .setFound(content.found())
              .setContent(ByteString.copyFrom(content.content())));
    } else if (message instanceof PeerMessage.Offer offer) {
      envelope.setConfigOffer(offer(offer.offer()));
    } else if (message instanceof PeerMessage.LeavingMarks marks) {
      envelope.setLeavingMarks(leavingMarks(marks));
    } else {
      writeMembership(message, envelope);
    }
    return envelope.build();
  }

  private static void writeMembership(PeerMessage message, Envelope.Builder envelope) {
    if (message instanceof PeerMessage.Ping ping) {
      envelope.setPing(
          Ping.newBuilder()
              .setNonce(ping.nonce())
              .setTableDigest(ping.tableDigest())
              .setOffer(offer(ping.offer())));
    } else if (message instanceof PeerMessage.Ack ack) {
      envelope.setAck(
          Ack.newBuilder()
              .setNonce(ack.nonce())
              .setSubject(ack.subject())
              .setTableDigest(ack.tableDigest())
              .setOffer(offer(ack.offer())));
    } else if (message instanceof PeerMessage.IndirectPing ping) {
      envelope.setIndirectPing(
          IndirectPing.newBuilder().setNonce(ping.nonce()).setSubject(ping.subject()));
    } else if (message instanceof PeerMessage.MemberUpdate update) {
      envelope.setMemberUpdate(MemberUpdate.newBuilder().addAllMembers(members(update.members())));
    } else if (message instanceof PeerMessage.SyncRequest request) {
      envelope.setSyncRequest(SyncRequest.newBuilder().addAllMembers(members(request.members())));
    } else if (message instanceof PeerMessage.SyncResponse response) {
      envelope.setSyncResponse(
          SyncResponse.newBuilder()
              .addAllMembers(members(response.members()))
              .setOffer(offer(response.offer())));
    }
  }

  private Envelope.Builder envelope() {
    return Envelope.newBuilder()
        .setProtocol(PROTOCOL_VERSION)
        .setDeployment(deployment)
        .setSender(incarnation);
  }

  private static List<Member> members(List<EntryMember> members) {
    return members.stream().map(MessageWriter::member).toList();
  }

  private static Member member(EntryMember member) {
    return Member.newBuilder()
        .setIncarnation(member.incarnation())
        .setPeerAddress(member.peerAddress())
        .setClientAddress(member.clientAddress())
        .setDataCentre(member.dataCentre())
        .setSequence(member.sequence())
        .setState(MemberState.forNumber(member.state().rank()))
        .setLeaving(member.flags().leaving())
        .setReady(member.flags().ready())
        .setOverloaded(member.flags().overloaded())
        .setPlatformUnreachable(member.flags().platformUnreachable())
        .build();
  }

  private static org.chivecross.wire.generated.ConfigOffer offer(ConfigOffer offer) {
    return org.chivecross.wire.generated.ConfigOffer.newBuilder()
        .setInForce(version(offer.inForce()))
        .setNewest(version(offer.newest()))
        .build();
  }

  private static Version version(ConfigVersion version) {
    return Version.newBuilder().setEpoch(version.epoch()).setRevision(version.revision()).build();
  }

  private static LeavingMarks leavingMarks(PeerMessage.LeavingMarks marks) {
    LeavingMarks.Builder builder = LeavingMarks.newBuilder();
    for (LeavingMark mark : marks.marks()) {
      builder.addMarks(
          org.chivecross.wire.generated.LeavingMark.newBuilder()
              .setTarget(mark.target())
              .setAgeMillis(mark.ageMillis()));
    }
    return builder.build();
  }

  private static KeyRequest keyRequest(PeerMessage.KeyRequest request) {
    KeyCall call = request.body();
    return KeyRequest.newBuilder()
        .setCall(request.call())
        .setOwner(request.owner())
        .setOperation(KeyOperation.forNumber(call.operation().number()))
        .setKey(call.key())
        .setMethod(call.method())
        .setTarget(call.target())
        .addAllHeaders(headers(call.headers()))
        .setBody(ByteString.copyFrom(call.body()))
        .setRemainingMillis((int) Math.min(Integer.MAX_VALUE, request.remainingMillis()))
        .build();
  }

  private static KeyResponse keyResponse(PeerMessage.KeyResponse response) {
    KeyAnswer answer = response.answer();
    return KeyResponse.newBuilder()
        .setCall(response.call())
        .setStatus(answer.status())
        .addAllHeaders(headers(answer.headers()))
        .setBody(ByteString.copyFrom(answer.body()))
        .build();
  }

  private static List<Header> headers(List<HeaderField> headers) {
    return headers.stream()
        .map(field -> Header.newBuilder().setName(field.name()).setValue(field.value()).build())
        .toList();
  }
}
