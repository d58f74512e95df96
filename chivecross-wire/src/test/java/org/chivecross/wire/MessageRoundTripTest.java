package org.chivecross.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Optional;
import org.chivecross.model.failure.Result;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.ConfigOffer;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.HeaderField;
import org.chivecross.model.peer.KeyCall;
import org.chivecross.model.peer.KeyOperation;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.model.peer.MemberState;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.wire.generated.Envelope;
import org.chivecross.wire.generated.Member;
import org.chivecross.wire.generated.MemberUpdate;
import org.junit.jupiter.api.Test;

class MessageRoundTripTest {

  private static final EntryMember MEMBER =
      new EntryMember(
          7, "10.0.0.1:7400", "10.0.0.1:80", "a", 3, MemberState.SUSPECT, EntryFlags.STARTING);
  private static final ConfigOffer OFFER =
      new ConfigOffer(new ConfigVersion(1, 5), new ConfigVersion(1, 6));

  private final MessageWriter writer = new MessageWriter("d", 7);
  private final MessageReader reader = new MessageReader("d");

  private Optional<PeerMessage> encodeAndDecode(PeerMessage message) throws Exception {
    Envelope envelope = Envelope.parseFrom(writer.write(message).toByteArray());
    Result<Optional<PeerMessage>> read = reader.read(envelope, "peer");
    return ((Result.Success<Optional<PeerMessage>>) assertInstanceOf(Result.Success.class, read))
        .value();
  }

  @Test
  void messagesAreUnchangedByEncodingAndDecoding() throws Exception {
    List<PeerMessage> messages =
        List.of(
            new PeerMessage.Ping(1, 2, OFFER),
            new PeerMessage.Ack(1, 7, 2, OFFER),
            new PeerMessage.IndirectPing(1, 8),
            new PeerMessage.MemberUpdate(List.of(MEMBER)),
            new PeerMessage.SyncRequest(List.of(MEMBER)),
            new PeerMessage.SyncResponse(List.of(MEMBER), OFFER),
            new PeerMessage.Offer(OFFER),
            new PeerMessage.ConfigRequest(OFFER.newest(), "ab"),
            new PeerMessage.LeavingMarks(List.of(new LeavingMark("10.0.0.9:81", 40))));
    for (PeerMessage message : messages) {
      assertEquals(Optional.of(message), encodeAndDecode(message));
    }
  }

  @Test
  void keyRequestIsUnchangedByEncodingAndDecoding() throws Exception {
    byte[] body = {1, 2, 3};
    KeyCall call =
        new KeyCall(
            KeyOperation.CANCEL, "k", "POST", "/a?b", List.of(new HeaderField("Host", "h")), body);
    PeerMessage.KeyRequest request =
        (PeerMessage.KeyRequest)
            encodeAndDecode(new PeerMessage.KeyRequest(1, 7, call, 90)).orElseThrow();
    assertArrayEquals(body, request.body().body());
    assertEquals(KeyOperation.CANCEL, request.body().operation());
    assertEquals(call.headers(), request.body().headers());
    assertEquals(90, request.remainingMillis());
  }

  @Test
  void messageOfUnknownKindIsIgnored() {
    Envelope newer =
        writer.write(new PeerMessage.IndirectPing(1, 2)).toBuilder().clearBody().build();
    assertEquals(Result.success(Optional.empty()), reader.read(newer, "peer"));
  }

  @Test
  void invalidMemberIsRefusedNamingThePeer() {
    Envelope bad =
        writer.write(new PeerMessage.IndirectPing(1, 2)).toBuilder()
            .setMemberUpdate(
                MemberUpdate.newBuilder().addMembers(Member.newBuilder().setStateValue(9)))
            .build();
    Result.Failed<?> failed =
        assertInstanceOf(Result.Failed.class, reader.read(bad, "10.0.0.3:7400"));
    assertEquals("10.0.0.3:7400", failed.failures().get(0).peer());
  }
}
