package org.chivecross.logic.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.peer.ConfigOffer;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.EntryTable;
import org.chivecross.model.peer.MemberState;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.model.peer.PeerMessage.Sender;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the digests in answers to the probes of one entry that has two peers. */
class MembershipSystemTest {

  private static final int ACKS = 40;
  private static final EntryMember SELF = member(1);
  private static final EntryMember RELAY = member(2);
  private static final EntryMember SUBJECT = member(3);

  private final List<PeerMessage> sent = new ArrayList<>();
  private final MembershipSystem system =
      new MembershipSystem(
          MembershipPreferences.standard(),
          SELF,
          new EntryTable(16),
          (address, message) -> sent.add(message),
          new SplittableRandom(3),
          () -> ConfigOffer.NOTHING);
  private long now = TimeUnit.SECONDS.toNanos(10);

  private static EntryMember member(long incarnation) {
    return new EntryMember(
        incarnation,
        "10.0.0." + incarnation + ":1",
        "10.0.0." + incarnation + ":2",
        "a",
        5,
        MemberState.ALIVE,
        EntryFlags.STARTING);
  }

  private static Sender senderOf(EntryMember member) {
    return new Sender(member.incarnation(), member.peerAddress());
  }

  @BeforeEach
  void start() {
    system.tick(now);
    system.receive(senderOf(RELAY), new PeerMessage.MemberUpdate(List.of(RELAY, SUBJECT)), now);
  }

  /** Sends answers and returns how often the entry asked for a complete exchange of claims. */
  private long syncRequestsAfterAcks(long subject, long digest) {
    sent.clear();
    for (int i = 0; i < ACKS; i++) {
      now += TimeUnit.MILLISECONDS.toNanos(100);
      system.receive(
          senderOf(RELAY),
          new PeerMessage.Ack(1_000 + i, subject, digest, ConfigOffer.NOTHING),
          now);
    }
    return sent.stream().filter(PeerMessage.SyncRequest.class::isInstance).count();
  }

  /** Tables lack their own entry, so the digests of the relay and of the subject differ. */
  @Test
  void digestOfARelayedAnswerIsNotComparedWithTheRelay() {
    long digestOfSubject = EntryTable.hash(SELF) ^ EntryTable.hash(RELAY);
    assertEquals(0, syncRequestsAfterAcks(SUBJECT.incarnation(), digestOfSubject));
  }

  @Test
  void differingDigestOfADirectAnswerLeadsToASync() {
    assertTrue(syncRequestsAfterAcks(RELAY.incarnation(), 99) > 0);
  }
}
