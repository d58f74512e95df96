package org.chivecross.cli.entry.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StopTimesTest {

  /** Guards against requests sent late in a long stop, whose cut counts as lost. */
  @Test
  void requestsThatMayOutlastALongStopAreSentForThreeSecondsAtMost() {
    assertEquals(TimeUnit.MILLISECONDS.toNanos(2_650), StopTimes.of(6_000, 0).acceptUntilNanos());
    assertEquals(TimeUnit.SECONDS.toNanos(3), StopTimes.of(10_000, 0).acceptUntilNanos());
  }
}
