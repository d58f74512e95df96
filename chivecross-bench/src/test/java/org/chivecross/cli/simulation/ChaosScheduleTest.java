package org.chivecross.cli.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ChaosScheduleTest {

  private static final long BOUND_NANOS = TimeUnit.SECONDS.toNanos(15);

  @Test
  void noFaultRevertsOrMixesSetsAndAllAgreeAfterHealing() {
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
