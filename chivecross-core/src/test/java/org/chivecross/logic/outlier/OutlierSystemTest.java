package org.chivecross.logic.outlier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.chivecross.model.table.TargetHealth;
import org.chivecross.model.table.TargetTable;
import org.junit.jupiter.api.Test;

class OutlierSystemTest {

  private final TargetTable targets = new TargetTable(8);
  private final TargetHealth health = targets.health();
  private final OutlierSystem system = new OutlierSystem(health);
  private final int[] rows = new int[6];

  OutlierSystemTest() {
    for (int i = 0; i < rows.length; i++) {
      rows[i] = targets.acquire("10.0.0." + i + ":80");
    }
  }

  private void fail(int count, long nowNanos) {
    for (int i = 0; i < count; i++) {
      for (int n = 0; n < OutlierSystem.FAILURES_BEFORE_EJECTION; n++) {
        health.recordFailure(rows[i], nowNanos);
      }
    }
  }

  private long ejected() {
    return Arrays.stream(rows).filter(health::isEjected).count();
  }

  @Test
  void failingMinorityIsEjectedAndReadmittedWithSlowStart() {
    fail(2, 0);
    system.tick(rows, 0);
    assertEquals(2, ejected());
    system.tick(rows, OutlierSystem.INITIAL_EJECTION_NANOS - 1);
    assertEquals(2, ejected());
    system.tick(rows, OutlierSystem.INITIAL_EJECTION_NANOS);
    assertEquals(0, ejected());
    assertEquals(OutlierSystem.INITIAL_EJECTION_NANOS, health.servingSinceNanos(rows[0]));
  }

  @Test
  void allTargetsAreReadmittedWhenMostFail() {
    fail(3, 0);
    system.tick(rows, 0);
    assertEquals(3, ejected());
    fail(4, 1);
    system.tick(rows, 1);
    assertEquals(0, ejected(), "with 4 of 6 targets failing, none is ejected");
  }

  @Test
  void targetThatFailsAgainIsEjectedForLonger() {
    fail(1, 0);
    system.tick(rows, 0);
    long readmittedNanos = OutlierSystem.INITIAL_EJECTION_NANOS;
    system.tick(rows, readmittedNanos);
    assertFalse(health.isEjected(rows[0]));
    health.recordFailure(rows[0], readmittedNanos);
    system.tick(rows, readmittedNanos);
    assertTrue(
        health.ejectedUntilNanos(rows[0])
            >= readmittedNanos + 2 * OutlierSystem.INITIAL_EJECTION_NANOS);
  }

  @Test
  void singleTargetIsNeverEjected() {
    int[] one = {rows[0]};
    fail(1, 0);
    system.tick(one, 0);
    assertFalse(health.isEjected(rows[0]));
  }
}
