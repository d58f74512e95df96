package org.chivecross.logic.probe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Probes of one target by all entries in seeded random schedules. Guards against bursts after
 * pauses and restarts, which would exceed the probe budget of the target.
 */
class ProbeScheduleTest {

  private static final long MILLI = 1_000_000;
  private static final double BUDGET = 0.02;
  private static final double PROBE_MILLIS = 6;
  private static final int SLOTS = 4;
  private static final int ENTRY_BOUND = 20;
  private static final int SCHEDULES = 1_000;
  private static final long RUN_MILLIS = 60_000;

  private final long interval = ProbeBudget.intervalNanos(BUDGET, PROBE_MILLIS, SLOTS, ENTRY_BOUND);

  /** An entry that tries to probe all the time and is paused or restarted at random. */
  private final class Prober {
    private ProbeSystem system = new ProbeSystem(1);
    private long pausedUntilMillis;

    Prober(long nowMillis) {
      restart(nowMillis);
    }

    void restart(long nowMillis) {
      system = new ProbeSystem(1);
      system.setInterval(0, interval, true, nowMillis * MILLI);
    }

    /** Tries to start three probes and returns the number of probes started. */
    int step(long nowMillis, SplittableRandom random) {
      if (nowMillis < pausedUntilMillis) {
        return 0;
      }
      switch (random.nextInt(2_000)) {
        case 0 -> restart(nowMillis);
        case 1 -> pausedUntilMillis = nowMillis + random.nextInt(10_000);
        default -> {}
      }
      int sent = 0;
      for (int i = 0; i < 3; i++) {
        if (system.tryStart(0, nowMillis * MILLI)) {
          sent++;
          boolean answered = random.nextInt(4) > 0;
          if (answered) {
            system.end(0, nowMillis * MILLI);
          }
        }
      }
      return sent;
    }
  }

  @Test
  void probeCostStaysWithinBudgetInAllSchedules() {
    for (int seed = 0; seed < SCHEDULES; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Prober[] probers = new Prober[ENTRY_BOUND];
      for (int i = 0; i < probers.length; i++) {
        probers[i] = new Prober(0);
      }
      double spentMillis = 0;
      long now = 0;
      while (now < RUN_MILLIS) {
        now += 1 + random.nextInt(200);
        for (Prober prober : probers) {
          spentMillis += prober.step(now, random) * PROBE_MILLIS;
        }
        assertTrue(
            spentMillis <= BUDGET * SLOTS * now,
            "seed " + seed + " at " + now + " ms: " + spentMillis);
      }
    }
  }

  @Test
  void pauseCausesNoBurst() {
    ProbeSystem system = new ProbeSystem(1);
    system.setInterval(0, interval, true, 0);
    long late = 100 * interval;
    assertTrue(system.tryStart(0, late));
    system.end(0, late);
    assertFalse(system.tryStart(0, late + interval - 1));
    assertTrue(system.tryStart(0, late + interval));
  }

  @Test
  void atMostOneProbeOfTargetIsInFlightUntilItsDeadline() {
    ProbeSystem system = new ProbeSystem(1);
    system.setInterval(0, 1, true, 0);
    assertTrue(system.tryStart(0, 10));
    assertFalse(system.tryStart(0, 20));
    assertFalse(system.tryStart(0, 9 + ProbeSystem.TIMEOUT_NANOS));
    assertTrue(system.tryStart(0, 10 + ProbeSystem.TIMEOUT_NANOS));
    assertFalse(
        system.end(0, 10 + 2 * ProbeSystem.TIMEOUT_NANOS), "an answer after the deadline is late");
  }

  @Test
  void zeroBudgetForbidsProbes() {
    assertEquals(ProbeBudget.NO_PROBES, ProbeBudget.intervalNanos(0, PROBE_MILLIS, SLOTS, 20));
  }
}
