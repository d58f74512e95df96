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

  private static final int FLEET = 500;
  private static final long TICK_MILLIS = 100;
  private static final long PROMISE_MILLIS = 2_000;

  private final Map<String, List<LeavingMark>> sent = new HashMap<>();

  private static EntryMember member(long number) {
    String address = "10.0." + number / 256 + "." + number % 256 + ":7400";
    long incarnation = number * 0x9E3779B97F4A7C15L;
    return new EntryMember(
        incarnation, address, address, "a", 1, MemberState.ALIVE, EntryFlags.STARTING);
  }

  private LeavingMarkGossip exchange(List<EntryMember> receivers) {
    return new LeavingMarkGossip(
        (address, message) -> sent.put(address, ((PeerMessage.LeavingMarks) message).marks()),
        () -> receivers);
  }

  @Test
  void everyEntryOfALargeFleetHearsWithinThePromise() {
    List<EntryMember> fleet = IntStream.rangeClosed(1, FLEET).mapToObj(i -> member(i)).toList();
    Map<String, Long> heardMillis = new HashMap<>();
    List<LeavingMarkGossip> exchanges = new ArrayList<>();
    int rings = MembershipPreferences.standard().rings();
    for (EntryMember self : fleet) {
      List<EntryMember> others = new ArrayList<>(fleet);
      others.remove(self);
      exchanges.add(exchange(RingNeighbours.of(self.incarnation(), others, rings).all()));
    }
    heardMillis.put(fleet.get(0).peerAddress(), 0L);
    for (long millis = 0; millis <= PROMISE_MILLIS; millis += TICK_MILLIS) {
      sent.clear();
      for (int i = 0; i < FLEET; i++) {
        boolean heard = heardMillis.containsKey(fleet.get(i).peerAddress());
        List<LeavingMark> marks =
            heard ? List.of(new LeavingMark("10.1.0.1:80", millis)) : List.of();
        exchanges.get(i).tick(marks, TimeUnit.MILLISECONDS.toNanos(millis));
      }
      for (String address : sent.keySet()) {
        heardMillis.putIfAbsent(address, millis);
      }
    }
    assertEquals(FLEET, heardMillis.size());
  }

  @Test
  void oldMarksAreRepeatedSeldomAndYoungOnesOften() {
    LeavingMarkGossip exchange = exchange(List.of(member(1)));
    int oldCount = 0;
    int youngCount = 0;
    for (long millis = 0; millis < 10_000; millis += TICK_MILLIS) {
      long now = TimeUnit.MILLISECONDS.toNanos(millis);
      sent.clear();
      exchange.tick(List.of(new LeavingMark("old", 60_000), new LeavingMark("young", 100)), now);
      for (List<LeavingMark> marks : sent.values()) {
        youngCount += marks.stream().filter(mark -> mark.target().equals("young")).count();
        oldCount += marks.size() == 2 ? 1 : 0;
      }
    }
    assertEquals(2, oldCount);
    assertEquals(50, youngCount);
  }

  @Test
  void manyMarksTakeTurnsInBoundedMessages() {
    LeavingMarkGossip exchange = exchange(List.of(member(1)));
    List<LeavingMark> marks =
        IntStream.range(0, 64).mapToObj(i -> new LeavingMark("t" + i, 100)).toList();
    Set<LeavingMark> told = new HashSet<>();
    for (long millis = 0; millis < 800; millis += TICK_MILLIS) {
      exchange.tick(marks, TimeUnit.MILLISECONDS.toNanos(millis));
      for (List<LeavingMark> message : sent.values()) {
        assertTrue(message.size() <= LeavingMarkGossip.MOST_MARKS);
        told.addAll(message);
      }
    }
    assertEquals(64, told.size());
  }

  @Test
  void nothingIsSentWithoutMarks() {
    exchange(List.of(member(1))).tick(List.of(), 0);
    assertTrue(sent.isEmpty());
  }
}
