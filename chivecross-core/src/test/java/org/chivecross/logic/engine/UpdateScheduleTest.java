package org.chivecross.logic.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class UpdateScheduleTest {

  private static List<ServicePlan> plans(int services, int targets) {
    return IntStream.range(0, services)
        .mapToObj(
            row ->
                new ServicePlan(
                    row, "s" + row, "t", new int[targets], new long[targets], new long[0], 0, 0))
        .toList();
  }

  @Test
  void allServicesOfSmallSetAreUpdatedInEachTick() {
    UpdateSchedule schedule = new UpdateSchedule(3);
    List<ServicePlan> plans = plans(3, 11);
    for (int tick = 0; tick < 5; tick++) {
      assertEquals(3, schedule.startTick(plans).size());
      plans.forEach(plan -> assertEquals(1, schedule.markUpdated(plan)));
    }
  }

  @Test
  void servicesOfLargeSetTakeTurnsAndElapsedTicksAreCounted() {
    UpdateSchedule schedule = new UpdateSchedule(260);
    List<ServicePlan> plans = plans(260, 11);
    int[] updates = new int[260];
    int longest = 0;
    for (int tick = 0; tick < 60; tick++) {
      int targets = 0;
      for (ServicePlan plan : schedule.startTick(plans)) {
        updates[plan.row()]++;
        targets += plan.targets().length;
        longest = Math.max(longest, schedule.markUpdated(plan));
      }
      assertTrue(targets < UpdateSchedule.TARGETS_PER_TICK + 11, "targets in a tick " + targets);
    }
    assertEquals(6, longest);
    assertTrue(IntStream.of(updates).allMatch(count -> count >= 10));
  }

  @Test
  void rotationRestartsWhenSetBecomesShorter() {
    UpdateSchedule schedule = new UpdateSchedule(260);
    schedule.startTick(plans(260, 11));
    assertEquals(2, schedule.startTick(plans(2, 11)).size());
  }
}
