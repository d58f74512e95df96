package org.chivecross.logic.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.chivecross.logic.membership.MembershipPreferences;
import org.chivecross.logic.membership.RingNeighbours;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.model.peer.MemberState;
import org.chivecross.model.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class LeavingMarkGossipTest {

  private static final int ENTRY_COUNT = 500;
  private static final long TICK_MILLIS = 100;
  private static final long SPREAD_LIMIT_MILLIS = 2_000;

  private final Map<String, List<LeavingMark>> sent = new HashMap<>();

  private static EntryMember member(long number) {
    String address = "10.0." + number / 256 + "." + number % 256 + ":7400";
    long incarnation = number * 0x9E3779B97F4A7C15L;
    return new EntryMember(
        incarnation, address, address, "a", 1, MemberState.ALIVE, EntryFlags.STARTING);
  }

  private LeavingMarkGossip gossip(List<EntryMember> receivers) {
    return new LeavingMarkGossip(
        (address, message) -> sent.put(address, ((PeerMessage.LeavingMarks) message).marks()),
        () -> receivers);
  }

  @Test
  void everyEntryOfALargeFleetReceivesAMarkWithinTwoSeconds() {
    List<EntryMember> fleet =
        IntStream.rangeClosed(1, ENTRY_COUNT).mapToObj(i -> member(i)).toList();
    Map<String, Long> receivedMillis = new HashMap<>();
    List<LeavingMarkGossip> gossips = new ArrayList<>();
    int rings = MembershipPreferences.standard().rings();
    for (EntryMember self : fleet) {
      List<EntryMember> others = new ArrayList<>(fleet);
      others.remove(self);
      gossips.add(gossip(RingNeighbours.of(self.incarnation(), others, rings).all()));
    }
    receivedMillis.put(fleet.get(0).peerAddress(), 0L);
    for (long millis = 0; millis <= SPREAD_LIMIT_MILLIS; millis += TICK_MILLIS) {
      sent.clear();
      for (int i = 0; i < ENTRY_COUNT; i++) {
        boolean received = receivedMillis.containsKey(fleet.get(i).peerAddress());
        List<LeavingMark> marks =
            received ? List.of(new LeavingMark("10.1.0.1:80", millis)) : List.of();
        gossips.get(i).tick(marks, TimeUnit.MILLISECONDS.toNanos(millis));
      }
      for (String address : sent.keySet()) {
        receivedMillis.putIfAbsent(address, millis);
      }
    }
    assertEquals(ENTRY_COUNT, receivedMillis.size());
  }

  @Test
  void oldMarksAreSentEveryFiveSecondsAndRecentOnesEvery200Millis() {
    LeavingMarkGossip gossip = gossip(List.of(member(1)));
    int oldCount = 0;
    int recentCount = 0;
    for (long millis = 0; millis < 10_000; millis += TICK_MILLIS) {
      long now = TimeUnit.MILLISECONDS.toNanos(millis);
      sent.clear();
      gossip.tick(List.of(new LeavingMark("old", 60_000), new LeavingMark("young", 100)), now);
      for (List<LeavingMark> marks : sent.values()) {
        recentCount += marks.stream().filter(mark -> mark.target().equals("young")).count();
        oldCount += marks.size() == 2 ? 1 : 0;
      }
    }
    assertEquals(2, oldCount);
    assertEquals(50, recentCount);
  }

  @Test
  void manyMarksAreSpreadOverBoundedMessages() {
    LeavingMarkGossip gossip = gossip(List.of(member(1)));
    List<LeavingMark> marks =
        IntStream.range(0, 64).mapToObj(i -> new LeavingMark("t" + i, 100)).toList();
    Set<LeavingMark> sentMarks = new HashSet<>();
    for (long millis = 0; millis < 800; millis += TICK_MILLIS) {
      gossip.tick(marks, TimeUnit.MILLISECONDS.toNanos(millis));
      for (List<LeavingMark> message : sent.values()) {
        assertTrue(message.size() <= LeavingMarkGossip.MAX_MARKS_PER_MESSAGE);
        sentMarks.addAll(message);
      }
    }
    assertEquals(64, sentMarks.size());
  }

  @Test
  void nothingIsSentWithoutMarks() {
    gossip(List.of(member(1))).tick(List.of(), 0);
    assertTrue(sent.isEmpty());
  }
}
