package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivecross.model.fleet.CallerLocation;
import org.chivecross.model.fleet.FleetMember;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests directory answers of large data centres, by region, and with strained entries. */
class LargeDirectoryTest {

  private static final int MAX = 64;

  private static FleetMember member(String ip, String dataCentre, boolean strained) {
    return new FleetMember(ip, 1, dataCentre, true, false, 0, 0, strained, List.of());
  }

  private static List<FleetMember> members(int count, int strained) {
    List<FleetMember> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(member("10.1.%d.%d".formatted(i / 200, i % 200), "a", i < strained));
    }
    return members;
  }

  private static List<String> answer(FleetMember self, List<FleetMember> all) {
    List<FleetMember> others = all.stream().filter(m -> !m.ip().equals(self.ip())).toList();
    return FleetDirectory.selectEntries(self, others, "a", MAX);
  }

  /** The first 64 entries by address got all callers and the others none. */
  @ParameterizedTest
  @ValueSource(ints = {65, 91, 230, 1_000})
  void eachEntryIsNamedInItsFairShareOfDifferentAnswers(int count) {
    List<FleetMember> all = members(count, 0);
    Map<String, Integer> times = new HashMap<>();
    Set<Set<String>> answers = new HashSet<>();
    for (FleetMember self : all) {
      List<String> answer = answer(self, all);
      answers.add(new HashSet<>(answer));
      answer.forEach(ip -> times.merge(ip, 1, Integer::sum));
    }
    assertEquals(count, times.size());
    assertEquals(Set.of(MAX), new HashSet<>(times.values()));
    assertEquals(count, answers.size());
  }

  /** Callers close connections to addresses that are missing from a newer answer. */
  @Test
  void lossChangesOnlyTheAddressOfTheLostEntry() {
    List<FleetMember> all = members(230, 0);
    List<FleetMember> left = new ArrayList<>(all);
    String lost = left.remove(117).ip();
    for (FleetMember self : left) {
      List<String> before = answer(self, all);
      Set<String> closed = new HashSet<>(before);
      answer(self, left).forEach(closed::remove);
      assertEquals(before.contains(lost) ? Set.of(lost) : Set.of(), closed);
    }
  }

  /** Deployments that run today must get the same answers in the same order. */
  @Test
  void upTo64EntriesAreNamedInTheOrderOfTheirAddresses() {
    List<FleetMember> all = members(MAX, 0);
    List<String> expected = new ArrayList<>(all.stream().map(FleetMember::ip).toList());
    expected.add(0, expected.remove(17));
    assertEquals(expected, answer(all.get(17), all));
  }

  private static int callersAt(String dataCentre, String region) {
    List<FleetMember> others =
        List.of(member("2", "b", false), member("3", "b", false), member("4", "c", false));
    Map<String, String> regions = Map.of("a", "north", "b", "north", "c", "south");
    CallerLocation caller = new CallerLocation(dataCentre, region);
    FleetMember self = member("1", "a", false);
    return FleetDirectory.selectEntries(self, others, caller, regions, MAX).size();
  }

  /** Callers must not be sent to another region while their own has entries. */
  @Test
  void callerWhoseDataCentreHasTooFewEntriesGetsThoseOfItsRegion() {
    assertEquals(3, callersAt("a", "south"), "the settings go first");
    assertEquals(3, callersAt("unknown", "north"));
    assertEquals(2, callersAt("b", "north"));
    assertEquals(4, callersAt("c", "south"));
    assertEquals(4, callersAt("unknown", "unknown"));
  }

  /** The few entries that are left couldn't take the callers of the others. */
  @Test
  void strainedEntriesAreLeftOutUnlessTheyAreMoreThanHalf() {
    assertEquals(5, answer(member("self", "a", false), members(9, 5)).size());
    assertEquals(10, answer(member("self", "a", false), members(9, 6)).size());
    assertEquals(4, answer(member("self", "a", true), members(7, 3)).size());
    assertEquals(8, answer(member("self", "a", true), members(7, 4)).size());
  }
}
