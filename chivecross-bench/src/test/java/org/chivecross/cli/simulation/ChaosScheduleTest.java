package org.chivecross.cli.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ChaosScheduleTest {

  private static final long BOUND_NANOS = TimeUnit.SECONDS.toNanos(15);

  /**
   * Guards against random platform faults, partitions, pauses and restarts that make an entry put
   * an older version or a mixture of two sets in force, or keep the entries from agreeing
   * afterwards.
   */
  @Test
  void entriesNeverRevertOrMixSetsAndAgreeAfterFaultsEnd() {
    LongStream.range(0, 400)
        .parallel()
        .forEach(
            seed -> {
              ChaosSchedule.Verdict verdict = new ChaosSchedule(seed, 5, 20).run(BOUND_NANOS);
              assertEquals(0, verdict.violations(), "seed " + seed);
              assertTrue(verdict.agreedNanos() >= 0, "seed " + seed + ": " + verdict.state());
            });
  }
}
