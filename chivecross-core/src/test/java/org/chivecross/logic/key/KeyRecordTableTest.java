package org.chivecross.logic.key;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.chivecross.model.request.Outcome;
import org.junit.jupiter.api.Test;

class KeyRecordTableTest {

  private static final long MILLI = 1_000_000;
  private static final long START = -5_000 * MILLI;
  private static final List<Outcome> OUTCOMES = List.of(Outcome.values());
  private static final KeyClaim RUN = new KeyClaim.Run();

  private final KeyPrefixIssuer issuer = new KeyPrefixIssuer(-7, START);
  private final KeyRecordTable table = new KeyRecordTable(issuer, 16);
  private final String key = issuer.prefix(1000, START) + "a";

  @Test
  void runsAKeyOnce() {
    assertEquals(RUN, table.claim(key, START));
    assertEquals(new KeyClaim.InFlight(), table.claim(key, START));
    table.finish(key, 201, Outcome.ANSWERED, START);
    assertEquals(new KeyClaim.Finished(201, Outcome.ANSWERED), table.claim(key, START));
    assertEquals(new KeyClaim.Finished(201, Outcome.ANSWERED), table.query(key, START));
  }

  @Test
  void runsAgainOnlyWhenProvedNotRun() {
    table.claim(key, START);
    table.finish(key, 0, Outcome.NOT_RUN, START);
    assertEquals(RUN, table.claim(key, START));
    table.finish(key, 0, Outcome.UNKNOWN, START);
    assertEquals(new KeyClaim.Finished(0, Outcome.UNKNOWN), table.claim(key, START));
  }

  @Test
  void cancelledKeyNeverRuns() {
    assertEquals(new KeyClaim.Fenced(), table.cancel(key, START));
    assertEquals(new KeyClaim.Fenced(), table.claim(key, START));
  }

  @Test
  void keyCancelledInFlightIsFencedWhenItDidNotRun() {
    table.claim(key, START);
    assertEquals(new KeyClaim.InFlight(), table.cancel(key, START));
    table.finish(key, 0, Outcome.NOT_RUN, START);
    assertEquals(new KeyClaim.Fenced(), table.claim(key, START));
  }

  @Test
  void neverRunsAfterTheWindow() {
    assertEquals(RUN, table.query(key, START + 999 * MILLI));
    assertEquals(new KeyClaim.OutsideWindow(), table.claim(key, START + 1000 * MILLI));
    assertEquals(new KeyClaim.OutsideWindow(), table.cancel(key, START + 1000 * MILLI));
  }

  @Test
  void refusesForeignForgedAndMalformedKeys() {
    String foreign = new KeyPrefixIssuer(9, START).prefix(1000, START) + "a";
    assertEquals(new KeyClaim.Foreign(9), table.claim(foreign, START));
    String future = issuer.prefix(1000, START + 50 * MILLI) + "a";
    assertInstanceOf(KeyClaim.Malformed.class, table.claim(future, START));
    String longer = new KeyPrefixIssuer(-7, START).prefix(2000, START) + "a";
    assertInstanceOf(KeyClaim.Malformed.class, table.claim(longer, START));
    assertInstanceOf(KeyClaim.Malformed.class, table.claim(key + "x".repeat(64), START));
    assertInstanceOf(KeyClaim.Malformed.class, table.claim("a", START));
  }

  @Test
  void fullTableRefusesClaimsAndKeepsLiveRecords() {
    int refused = 0;
    for (int i = 0; i < 200; i++) {
      String other = issuer.prefix(1000, START) + i;
      if (table.claim(other, START) instanceof KeyClaim.TableFull) {
        refused++;
        assertEquals(RUN, table.query(other, START));
      } else {
        assertEquals(new KeyClaim.InFlight(), table.query(other, START));
      }
    }
    assertEquals(16, table.size());
    assertEquals(184, refused);
  }

  @Test
  void keepsAnInFlightRecordBeyondItsWindow() {
    table.claim(key, START);
    table.expire(START + 2000 * MILLI);
    assertEquals(new KeyClaim.InFlight(), table.claim(key, START + 2000 * MILLI));
    table.finish(key, 200, Outcome.ANSWERED, START + 2000 * MILLI);
    table.expire(START + 2000 * MILLI);
    assertEquals(0, table.size());
    assertEquals(new KeyClaim.OutsideWindow(), table.claim(key, START + 2000 * MILLI));
  }

  @Test
  void expiryRemovesOnlyRecordsWhoseWindowEnded() {
    KeyRecordTable large = new KeyRecordTable(issuer, 4096);
    for (int i = 0; i < 3000; i++) {
      String other = issuer.prefix(i % 2 == 0 ? 10 : 1000, START) + i;
      large.claim(other, START);
      large.finish(other, 200, Outcome.ANSWERED, START);
    }
    large.expire(START + 10 * MILLI);
    assertEquals(1500, large.size());
    for (int i = 1; i < 3000; i += 2) {
      KeyClaim claim = large.query(issuer.prefix(1000, START) + i, START + 10 * MILLI);
      assertEquals(new KeyClaim.Finished(200, Outcome.ANSWERED), claim);
    }
  }

  @Test
  void matchesAMapModelUnderRandomUse() {
    KeyRecordTable large = new KeyRecordTable(issuer, 4096);
    Map<String, KeyClaim> model = new HashMap<>();
    SplittableRandom random = new SplittableRandom(11);
    for (int i = 0; i < 50_000; i++) {
      String other = issuer.prefix(1000, START) + random.nextInt(1500);
      KeyClaim expected = model.getOrDefault(other, RUN);
      assertEquals(expected, large.claim(other, START));
      Outcome outcome = OUTCOMES.get(random.nextInt(OUTCOMES.size()));
      if (expected.equals(RUN)) {
        large.finish(other, 200, outcome, START);
      }
      if (expected.equals(RUN) && (outcome == Outcome.ANSWERED || outcome == Outcome.UNKNOWN)) {
        model.put(other, new KeyClaim.Finished(200, outcome));
      }
    }
    assertEquals(model.size(), large.size());
  }
}
