package org.chivecross.logic.leaving;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.chivecross.model.table.TargetTable;
import org.junit.jupiter.api.Test;

class LeavingSystemTest {

  private final TargetTable targets = new TargetTable(2);
  private final int row = targets.acquire("10.0.0.1:80");
  private final LeavingSystem system = new LeavingSystem(targets.leaving(), targets.health());

  @Test
  void markLastsUntilNewerHealthReportContradictsIt() {
    system.headerSeen(row, 100);
    assertTrue(targets.leaving().isLeaving(row));
    system.healthReported(row, false, 99);
    assertTrue(targets.leaving().isLeaving(row), "older evidence must not clear a mark");
    system.healthReported(row, false, 101);
    assertFalse(targets.leaving().isLeaving(row));
    system.headerSeen(row, 100);
    assertFalse(targets.leaving().isLeaving(row), "a delayed copy must not set the mark again");
  }

  @Test
  void vmListMarkIsClearedOnlyByLaterList() {
    system.listed(row, true, 10);
    system.healthReported(row, false, 20);
    assertTrue(targets.leaving().isLeaving(row));
    system.listed(row, false, 30);
    assertFalse(targets.leaving().isLeaving(row));
  }

  @Test
  void onlyConsecutiveRefusalsMarkTarget() {
    system.refused(row, 1);
    system.refused(row, 2);
    targets.health().recordSuccess(row);
    system.refused(row, 3);
    assertFalse(targets.leaving().isLeaving(row));
    system.refused(row, 4);
    system.refused(row, 5);
    assertTrue(targets.leaving().isLeaving(row));
  }
}
