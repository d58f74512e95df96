package org.chivecross.logic.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.chivecross.logic.drain.DrainSystem.Phase;
import org.junit.jupiter.api.Test;

class DrainSystemTest {

  private final DrainSystem drain = new DrainSystem(60_000);

  private static long at(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @Test
  void servesUntilDirectoryAnswersThatNameItExpire() {
    drain.requestStop(10_000, at(0));
    assertEquals(Phase.LEAVING, drain.tick(true, at(11_999)));
    assertEquals(Phase.FINISHED, drain.tick(true, at(12_000)));
  }

  @Test
  void requestInFlightDelaysTheStop() {
    drain.requestStop(0, at(0));
    assertEquals(Phase.LEAVING, drain.tick(false, at(59_999)));
    assertEquals(Phase.FINISHED, drain.tick(true, at(59_999)));
  }

  @Test
  void deadlineOrSecondStopRequestForcesTheStop() {
    drain.requestStop(10_000, at(0));
    assertEquals(Phase.CUT, drain.tick(false, at(60_000)));
    DrainSystem twice = new DrainSystem(60_000);
    twice.requestStop(10_000, at(0));
    twice.requestStop(10_000, at(1));
    assertEquals(Phase.CUT, twice.tick(true, at(2)));
  }
}
