package org.chivecross.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests when an entry takes the failures that it sees for its own and not for the targets'. */
class UpstreamReachabilityTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int TARGETS = 20;

  private final UpstreamReachability reachability = new UpstreamReachability();
  private long now = 10_000 * MILLI;

  private void respond(int row) {
    reachability.recordResponse(row, TARGETS, now);
  }

  private void fail(int... rows) {
    for (int row : rows) {
      reachability.recordFailure(row, TARGETS, now);
    }
  }

  @Test
  void failuresOfOneTargetAreNoEvidenceAboutTheEntry() {
    respond(1);
    now += 1_000 * MILLI;
    fail(4, 4, 4, 4, 4, 4);
    assertFalse(reachability.isIsolated());
  }

  @Test
  void failuresOfSeveralTargetsWithoutAnyResponseIsolate() {
    respond(1);
    now += 150 * MILLI;
    fail(4, 5);
    assertFalse(reachability.isIsolated());
    assertTrue(reachability.recordFailure(6, TARGETS, now));
    assertFalse(reachability.recordFailure(7, TARGETS, now), "reported once");
    assertTrue(reachability.isIsolated());
    assertEquals(0, reachability.placedFraction(now));
  }

  @Test
  void responseInBetweenShowsThatTargetsAreReached() {
    now += 150 * MILLI;
    fail(4, 5);
    respond(1);
    now += 150 * MILLI;
    fail(6, 7);
    assertFalse(reachability.isIsolated());
  }

  @Test
  void failuresRightAfterAResponseDoNotIsolate() {
    respond(1);
    now += 20 * MILLI;
    fail(4, 5, 6, 7);
    assertFalse(reachability.isIsolated());
  }

  @Test
  void oneResponseDoesNotEndTheIsolation() {
    now += 150 * MILLI;
    fail(4, 5, 6);
    respond(1);
    respond(1);
    respond(2);
    assertTrue(reachability.isIsolated());
    fail(9);
    respond(1);
    respond(2);
    assertTrue(reachability.isIsolated(), "a failure in between");
    assertTrue(reachability.recordResponse(3, TARGETS, now));
    assertFalse(reachability.isIsolated());
  }

  @Test
  void requestsReturnToTheTargetsGradually() {
    fail(4, 5, 6);
    respond(1);
    respond(2);
    respond(3);
    assertEquals(0, reachability.placedFraction(now));
    assertEquals(0.5, reachability.placedFraction(now + 500 * MILLI), 0.001);
    assertEquals(1, reachability.placedFraction(now + 5_000 * MILLI));
  }

  /** Otherwise one dead target would keep the entry away from the others. */
  @Test
  void isolationEndsAlthoughOneOfThreeTargetsIsDead() {
    for (int row = 0; row < 3; row++) {
      reachability.recordFailure(row, 3, now);
    }
    assertTrue(reachability.isIsolated());
    reachability.recordFailure(2, 3, now);
    reachability.recordResponse(0, 3, now);
    reachability.recordFailure(2, 3, now);
    reachability.recordResponse(0, 3, now);
    assertTrue(reachability.recordResponse(1, 3, now));
  }

  @Test
  void aSingleTargetIsEvidenceWhereThereIsNoOther() {
    assertTrue(reachability.recordFailure(0, 1, now));
    assertTrue(reachability.recordResponse(0, 1, now));
  }
}
