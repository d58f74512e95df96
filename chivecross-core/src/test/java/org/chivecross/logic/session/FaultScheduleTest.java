package org.chivecross.logic.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chivecross.logic.request.FakePolicies;
import org.chivecross.logic.request.RequestPolicies;
import org.junit.jupiter.api.Test;

/**
 * Runs seeded random schedules of lost connections, late answers, pauses, cancellations, re-sent
 * requests and entry crashes.
 */
class FaultScheduleTest {

  private static final int SCHEDULES = 1500;
  private static final int ENGINE_SCHEDULES = 300;

  @Test
  void noScheduleBreaksARuleWithFakePolicies() {
    Map<String, Integer> outcomes = new TreeMap<>();
    List<String> found = new ArrayList<>();
    for (long seed = 0; seed < SCHEDULES; seed++) {
      FaultSchedule schedule =
          new FaultSchedule(seed, FleetSetup.of(3).withPolicies(index -> policies()));
      for (String violation : schedule.run()) {
        found.add("seed " + seed + ": " + violation + " after " + schedule.commands());
      }
      countOutcomes(schedule, outcomes);
    }
    System.out.println("FaultScheduleTest: " + SCHEDULES + " schedules, outcomes " + outcomes);
    assertEquals(List.of(), found.subList(0, Math.min(3, found.size())));
    for (String outcome : List.of("not-run", "unknown", "answered", "expired", "from", "broken,")) {
      assertTrue(outcomes.containsKey(outcome), "no schedule ended " + outcome);
    }
  }

  @Test
  void noScheduleBreaksARuleWithTheEngine() {
    List<String> found = new ArrayList<>();
    for (long seed = 0; seed < ENGINE_SCHEDULES; seed++) {
      String deployment = seed % 2 == 0 ? "cooperative" : "prairie";
      FaultSchedule schedule = new FaultSchedule(seed, DeploymentFixture.setup(deployment, 3));
      for (String violation : schedule.run()) {
        found.add("seed " + seed + ": " + violation + " after " + schedule.commands());
      }
    }
    System.out.println("FaultScheduleTest: " + ENGINE_SCHEDULES + " schedules on the engine");
    assertEquals(List.of(), found.subList(0, Math.min(3, found.size())));
  }

  private static void countOutcomes(FaultSchedule schedule, Map<String, Integer> outcomes) {
    for (String line : schedule.fleet().recorder().lines()) {
      if (line.startsWith("caller: ")) {
        String[] words = line.split(" ", -1);
        outcomes.merge(words[2].equals("broken,") ? words[2] : words[3], 1, Integer::sum);
      }
    }
  }

  private static RequestPolicies policies() {
    FakePolicies fakes = new FakePolicies();
    fakes.hedgeDelayNanos = 10_000_000;
    fakes.firstByteTimeoutNanos = 20_000_000;
    return fakes.policies();
  }
}
