package org.chivecross.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.chivecross.model.registry.RegisteredTarget;
import org.junit.jupiter.api.Test;

class TargetBoardTest {

  private final TargetBoard board = new TargetBoard();

  private static RegisteredTarget target(String id, long startedAt, boolean leaving) {
    return new RegisteredTarget(id, startedAt, "s", "10.0.0.1:80", "a", 4, leaving, 0);
  }

  @Test
  void leavingTargetsAreNotUsable() {
    board.apply(List.of(target("t", 1, false)), 0);
    int row = board.usableRows("s")[0];
    board.apply(List.of(target("t", 1, true)), 1);
    assertEquals(0, board.usableRows("s").length);
    assertFalse(board.isUsable(row));
    assertEquals("t", board.target(row).orElseThrow().id());
  }

  /** A request in flight holds the row number, which must not come to mean another target. */
  @Test
  void rowOfAnEarlierStartIsNotReusedWhileItIsInFlight() {
    board.apply(List.of(target("t", 1, false)), 0);
    int before = board.usableRows("s")[0];
    board.started(before);
    board.apply(List.of(target("t", 2, false)), 1);
    int after = board.usableRows("s")[0];
    assertNotEquals(before, after);
    board.ended(before);
    board.apply(List.of(target("t", 3, false)), 2);
    assertEquals(before, board.usableRows("s")[0]);
  }
}
