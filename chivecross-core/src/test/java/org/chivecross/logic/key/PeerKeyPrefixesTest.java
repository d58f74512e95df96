package org.chivecross.logic.key;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.membership.MemberView;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.MemberState;
import org.junit.jupiter.api.Test;

class PeerKeyPrefixesTest {

  private static final long OWNER = 7;
  private static final int WINDOW_MILLIS = 600_000;

  private final PeerKeyPrefixes prefixes = new PeerKeyPrefixes();

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static EntryMember member(long incarnation, long sequence, MemberState state) {
    return new EntryMember(
        incarnation, "10.0.0.1:7400", "10.0.0.1:80", "a", sequence, state, EntryFlags.STARTING);
  }

  private void observe(long sequence, MemberState state, long nowMillis) {
    EntryMember self = member(1, 1, MemberState.ALIVE);
    MemberView view = new MemberView(self, List.of(member(OWNER, sequence, state)), true);
    prefixes.observe(view, nanos(nowMillis));
  }

  @Test
  void ownerAcceptsAKeyWithAPrefixFromAnotherEntry() {
    KeyPrefixIssuer owner = new KeyPrefixIssuer(OWNER, 0);
    owner.allowWindow(WINDOW_MILLIS);
    observe(1_000, MemberState.ALIVE, 1_000);
    // The owner's clock runs 500 ppm slow while the other entry's clock runs 500 ppm fast.
    long issuedAtMillis = 3_600_000;
    long ownerNow = nanos(issuedAtMillis) - nanos(issuedAtMillis) / 1_000;
    String prefix = prefixes.prefix(OWNER, WINDOW_MILLIS, nanos(issuedAtMillis)).orElseThrow();
    KeyRecordTable records = new KeyRecordTable(owner, 16);
    assertInstanceOf(KeyClaim.Run.class, records.claim(prefix + "a", ownerNow));
  }

  @Test
  void prefixFromAnotherEntryShortensTheWindowByAtMost200Ms() {
    observe(1_000, MemberState.ALIVE, 1_000);
    String prefix = prefixes.prefix(OWNER, WINDOW_MILLIS, nanos(61_000)).orElseThrow();
    long issued = IdempotencyKey.parse(prefix + "a").orElseThrow().issuedMillis();
    assertTrue(issued <= 61_000 && issued >= 60_800, "issued at " + issued);
  }

  @Test
  void noPrefixForAnUnknownOrDeadOwner() {
    assertTrue(prefixes.prefix(OWNER, WINDOW_MILLIS, 0).isEmpty());
    observe(1_000, MemberState.ALIVE, 1_000);
    observe(1_000, MemberState.DEAD, 2_000);
    assertTrue(prefixes.prefix(OWNER, WINDOW_MILLIS, nanos(2_000)).isEmpty());
  }

  @Test
  void noPrefixWhenTheUptimeEstimateIsTooOld() {
    observe(1_000, MemberState.ALIVE, 1_000);
    long tenDays = TimeUnit.DAYS.toMillis(10);
    assertTrue(prefixes.prefix(OWNER, WINDOW_MILLIS, nanos(tenDays)).isEmpty());
    observe(tenDays, MemberState.ALIVE, tenDays);
    assertTrue(prefixes.prefix(OWNER, WINDOW_MILLIS, nanos(tenDays)).isPresent());
  }

  @Test
  void ownerRefusesAKeyIssuedAheadOfItsTime() {
    KeyPrefixIssuer owner = new KeyPrefixIssuer(OWNER, 0);
    owner.allowWindow(WINDOW_MILLIS);
    String prefix = KeyPrefixIssuer.format(OWNER, 5_000, WINDOW_MILLIS);
    KeyClaim claim = new KeyRecordTable(owner, 16).claim(prefix + "a", nanos(4_000));
    assertEquals(KeyClaim.Malformed.class, claim.getClass());
  }
}
