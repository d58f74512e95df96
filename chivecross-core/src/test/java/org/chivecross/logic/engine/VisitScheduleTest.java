package org.chivecross.logic.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class VisitScheduleTest {

  private static List<ServicePlan> plans(int services, int targets) {
    return IntStream.range(0, services)
        .mapToObj(
            row ->
                new ServicePlan(
                    row, "s" + row, "t", new int[targets], new long[targets], new long[0], 0, 0))
        .toList();
  }

  @Test
  void smallSetIsVisitedWholeInEachTick() {
    VisitSchedule schedule = new VisitSchedule(3);
    List<ServicePlan> plans = plans(3, 11);
    for (int tick = 0; tick < 5; tick++) {
      assertEquals(3, schedule.next(plans).size());
      plans.forEach(plan -> assertEquals(1, schedule.visit(plan)));
    }
  }

  @Test
  void largeSetTakesTurnsAndCountsThePassedTicks() {
    VisitSchedule schedule = new VisitSchedule(260);
    List<ServicePlan> plans = plans(260, 11);
    int[] visits = new int[260];
    int longest = 0;
    for (int tick = 0; tick < 60; tick++) {
      int targets = 0;
      for (ServicePlan plan : schedule.next(plans)) {
        visits[plan.row()]++;
        targets += plan.targets().length;
        longest = Math.max(longest, schedule.visit(plan));
      }
      assertTrue(targets < VisitSchedule.TARGETS_PER_TICK + 11, "targets in a tick " + targets);
    }
    assertEquals(6, longest);
    assertTrue(IntStream.of(visits).allMatch(count -> count >= 10));
  }

  @Test
  void shorterSetIsVisitedFromItsStart() {
    VisitSchedule schedule = new VisitSchedule(260);
    schedule.next(plans(260, 11));
    assertEquals(2, schedule.next(plans(2, 11)).size());
  }
}
