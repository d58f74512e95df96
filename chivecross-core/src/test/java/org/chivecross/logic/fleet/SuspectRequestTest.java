package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.TargetIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what entries remember of requests under which targets ended. */
class SuspectRequestTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long REQUEST = 0x1234567890L;

  private final SuspectRequestTable table = new SuspectRequestTable();

  private static TargetIncarnation target(int number) {
    return new TargetIncarnation("t" + number, 1);
  }

  private boolean isBlocked(long nowNanos) {
    return table.standing(REQUEST, () -> false, nowNanos).isBlocked();
  }

  @Test
  void requestIsBlockedAfterThreeDifferentTargetsEnded() {
    table.recordEnd(REQUEST, target(1), SECOND);
    table.recordEnd(REQUEST, target(1), 2 * SECOND);
    table.recordEnd(REQUEST, target(2), 3 * SECOND);
    assertFalse(isBlocked(3 * SECOND), "two targets");
    table.recordEnd(REQUEST, new TargetIncarnation("t1", 2), 4 * SECOND);
    assertTrue(isBlocked(4 * SECOND), "a later run is another target");
  }

  @Test
  void completionEndsTheSuspicionAndDelayedEndsDoNotRenewIt() {
    table.recordEnd(REQUEST, target(1), SECOND);
    table.recordEnd(REQUEST, target(2), 2 * SECOND);
    assertTrue(table.recordCompletion(REQUEST, 3 * SECOND));
    assertFalse(table.recordEnd(REQUEST, target(3), 2 * SECOND));
    assertEquals(0, table.standing(REQUEST, () -> false, 4 * SECOND).endedTargets());
  }

  /** A request that ends each target must not reach more than three after it is blocked. */
  @Test
  void blockedRequestIsTriedThreeTimesAtMostByOneEntry() {
    for (int i = 1; i <= 3; i++) {
      table.recordEnd(REQUEST, target(i), i * SECOND);
    }
    int trials = 0;
    for (long second = 3; second < 100_000; second++) {
      long now = second * SECOND;
      assertTrue(
          table.standing(REQUEST, () -> false, now).isBlocked(), "an entry that is not the first");
      if (!table.standing(REQUEST, () -> true, now).isBlocked()) {
        assertTrue(second >= 30, "tried after " + second + " s");
        trials++;
        table.recordTrial(REQUEST, now);
        table.recordEnd(REQUEST, target(3 + trials), now + 50 * MILLI);
      }
    }
    assertEquals(3, trials);
  }

  @Test
  void trialThatEndsNoTargetReleasesTheRequest() {
    for (int i = 1; i <= 3; i++) {
      table.recordEnd(REQUEST, target(i), i * SECOND);
    }
    table.recordTrial(REQUEST, 40 * SECOND);
    assertTrue(table.recordCompletion(REQUEST, 41 * SECOND));
    assertFalse(isBlocked(41 * SECOND));
  }

  @Test
  void memoryIsBounded() {
    for (int i = 0; i < 10_000; i++) {
      table.recordEnd(i, target(1), SECOND + i);
    }
    for (int i = 1; i <= 3; i++) {
      table.recordEnd(REQUEST, target(i), i);
    }
    table.expire(2 * SECOND);
    assertTrue(isBlocked(2 * SECOND), "blocked requests are kept before others");
    assertEquals(0, table.standing(0, () -> false, 2 * SECOND).endedTargets());
    assertEquals(1, table.standing(9_999, () -> false, 2 * SECOND).endedTargets());
    table.expire(SECOND * 3_600 * 2);
    assertFalse(isBlocked(SECOND * 3_600 * 2));
  }

  /** Requests come again at any entry, and at one whose process has just started. */
  @Test
  void allEntriesAndRestartedOnesKnowABlockedRequestDespiteLostMessages() {
    GossipSimulation simulation = new GossipSimulation(3, 4, 6, false);
    simulation.runMillis(5_000);
    simulation.lossRate = 0.3;
    String[] ips = {"10.1.0.2", "10.2.0.3", "10.3.0.4"};
    for (int i = 0; i < ips.length; i++) {
      simulation.entry(ips[i]).node.evidence().targetEnded(REQUEST, target(i), simulation.now);
      simulation.runMillis(500);
    }
    simulation.runMillis(2_500);
    assertEquals(12, blockedAt(simulation));
    simulation.restart("10.2.0.2", "dc2");
    simulation.runMillis(2_000);
    assertEquals(12, blockedAt(simulation));
    simulation.entry("10.2.0.2").node.evidence().requestCompleted(REQUEST, simulation.now);
    simulation.runMillis(6_000);
    assertEquals(0, blockedAt(simulation), "a lost message must not keep a request blocked");
  }

  private static long blockedAt(GossipSimulation simulation) {
    return simulation.count(
        node -> node.evidence().standing(REQUEST, simulation.now).endedTargets() >= 3);
  }

  /**
   * Targets of a service end for reasons of their own at random moments in 5 s and are back after 3
   * s. Requests take 160 ms, are tried at two targets by an entry and three times by their caller.
   */
  @ParameterizedTest
  @CsvSource({"20, 2, 0", "20, 7, 0", "20, 20, 2"})
  void hardlyAnyOtherRequestIsBlockedWhenTargetsEnd(int targets, int ending, int mostBlocked) {
    SplittableRandom random = new SplittableRandom(17);
    long[] endNanos = new long[targets];
    for (int i = 0; i < targets; i++) {
      endNanos[i] = i < ending ? random.nextLong(5 * SECOND) : Long.MAX_VALUE / 2;
    }
    int requests = 2_000;
    int blocked = 0;
    for (int fingerprint = 0; fingerprint < requests; fingerprint++) {
      long now = random.nextLong(5 * SECOND);
      for (int attempt = 0; attempt < 6; attempt++) {
        int chosen = random.nextInt(targets);
        boolean isDown = now >= endNanos[chosen] && now < endNanos[chosen] + 3 * SECOND;
        if (isDown) {
          continue;
        }
        long end = now + 160 * MILLI;
        if (now < endNanos[chosen] && end >= endNanos[chosen]) {
          now = endNanos[chosen];
          table.recordEnd(fingerprint, target(chosen), now);
          now += attempt % 2 == 0 ? MILLI : 50 * MILLI;
        } else {
          table.recordCompletion(fingerprint, end);
          break;
        }
      }
      blocked += table.standing(fingerprint, () -> false, now).isBlocked() ? 1 : 0;
    }
    assertTrue(blocked <= mostBlocked, blocked + " of " + requests);
  }
}
