package org.chivecross.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.registry.TargetAddress;
import org.junit.jupiter.api.Test;

class DispatchTargetTableTest {

  private final DispatchTargetTable targets = new DispatchTargetTable();

  private static RegisteredTarget target(String id, long startedAt, boolean leaving) {
    return new RegisteredTarget(
        id, startedAt, "s", TargetAddress.of("10.0.0.1:80"), "a", 4, leaving, 0, 0);
  }

  @Test
  void leavingTargetsAreNotUsable() {
    targets.apply(List.of(target("t", 1, false)), 0);
    int row = targets.usableRows("s")[0];
    targets.apply(List.of(target("t", 1, true)), 1);
    assertEquals(0, targets.usableRows("s").length);
    assertFalse(targets.isUsable(row));
    assertEquals("t", targets.target(row).orElseThrow().id());
  }

  /** An attempt in flight holds the row number, which must not denote another target. */
  @Test
  void rowOfAnEarlierIncarnationIsNotReusedWhileAttemptsAreInFlight() {
    targets.apply(List.of(target("t", 1, false)), 0);
    int before = targets.usableRows("s")[0];
    targets.attemptStarted(before);
    targets.apply(List.of(target("t", 2, false)), 1);
    int after = targets.usableRows("s")[0];
    assertNotEquals(before, after);
    targets.attemptEnded(before);
    targets.apply(List.of(target("t", 3, false)), 2);
    assertEquals(before, targets.usableRows("s")[0]);
  }
}
