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

class FleetDirectoryTest {

  private static FleetMember member(String ip, String dataCentre, boolean ready) {
    return new FleetMember(ip, 1, dataCentre, ready, false, 0, 0);
  }

  private static final List<FleetMember> OTHERS =
      List.of(member("2", "a", true), member("3", "b", true), member("4", "b", false));

  @Test
  void callerGetsEntriesOfItsOwnDataCentre() {
    assertEquals(
        List.of("1", "2"), FleetDirectory.selectEntries(member("1", "a", true), OTHERS, "a", 64));
  }

  @Test
  void callerGetsAllReadyEntriesWhenItsDataCentreHasTooFew() {
    assertEquals(
        List.of("1", "2", "3"),
        FleetDirectory.selectEntries(member("1", "a", true), OTHERS, "b", 64));
  }

  @Test
  void entryThatIsNotReadyIsNotSelected() {
    assertEquals(
        List.of("2", "3"), FleetDirectory.selectEntries(member("1", "a", false), OTHERS, "a", 64));
  }

  @Test
  void numberOfEntriesIsBounded() {
    assertEquals(
        List.of("1"), FleetDirectory.selectEntries(member("1", "a", true), OTHERS, "a", 1));
  }

  private static FleetMember isolated(String ip, String dataCentre, boolean ready) {
    return new FleetMember(ip, 1, dataCentre, ready, true, 0, 0);
  }

  @Test
  void isolatedEntryIsNotSelected() {
    List<FleetMember> others =
        List.of(isolated("2", "a", true), member("3", "a", true), member("4", "b", true));
    assertEquals(
        List.of("1", "3"), FleetDirectory.selectEntries(member("1", "a", true), others, "a", 64));
  }

  @Test
  void isolatedEntryDoesNotSelectItself() {
    assertEquals(
        List.of("2", "3"), FleetDirectory.selectEntries(isolated("1", "a", true), OTHERS, "a", 64));
  }

  /** An isolated entry doesn't count among those that tolerate the loss of one. */
  @Test
  void callerGetsAllOtherEntriesWhenItsDataCentreHasTooFewThatAreNotIsolated() {
    List<FleetMember> others =
        List.of(
            isolated("2", "a", true),
            member("3", "b", true),
            isolated("4", "b", true),
            member("5", "c", true));
    assertEquals(
        List.of("1", "3", "5"),
        FleetDirectory.selectEntries(member("1", "a", true), others, "a", 64));
  }

  @Test
  void callerOfAnIsolatedDataCentreGetsTheEntriesOfOthers() {
    List<FleetMember> others =
        List.of(isolated("2", "a", true), member("3", "b", true), member("4", "b", true));
    assertEquals(
        List.of("3", "4"), FleetDirectory.selectEntries(isolated("1", "a", true), others, "a", 64));
  }

  @Test
  void lastEntryThatIsNotIsolatedIsSelectedAlone() {
    List<FleetMember> others =
        List.of(isolated("2", "a", true), isolated("3", "b", true), member("4", "b", true));
    assertEquals(
        List.of("4"), FleetDirectory.selectEntries(isolated("1", "a", true), others, "a", 64));
  }

  /** The entry that isn't isolated accepts no callers, so the isolated ones must. */
  @Test
  void isolatedEntriesAreSelectedWhenAllReadyOnesAreIsolated() {
    List<FleetMember> others =
        List.of(isolated("2", "a", true), isolated("3", "b", true), member("4", "b", false));
    assertEquals(
        List.of("1", "2"), FleetDirectory.selectEntries(isolated("1", "a", true), others, "a", 64));
    assertEquals(
        List.of("1", "2", "3"),
        FleetDirectory.selectEntries(isolated("1", "a", true), others, "b", 64));
  }

  private static List<FleetMember> members(int count, int strained) {
    List<FleetMember> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new FleetMember("ip" + i, 1, "a", true, false, 0, 0, i < strained, List.of()));
    }
    return members;
  }

  private static List<String> answer(FleetMember self, List<FleetMember> all) {
    List<FleetMember> others = all.stream().filter(m -> !m.ip().equals(self.ip())).toList();
    return FleetDirectory.selectEntries(self, others, "a", 64);
  }

  /** The first 64 entries by address got all callers and the others none. */
  @ParameterizedTest
  @ValueSource(ints = {65, 91, 230, 1_000})
  void eachEntryIsNamedInItsFairShareOfDifferentAnswers(int count) {
    Map<String, Integer> times = new HashMap<>();
    Set<Set<String>> answers = new HashSet<>();
    for (FleetMember self : members(count, 0)) {
      List<String> answer = answer(self, members(count, 0));
      answers.add(new HashSet<>(answer));
      answer.forEach(ip -> times.merge(ip, 1, Integer::sum));
    }
    assertEquals(count, times.size());
    assertEquals(Set.of(64), new HashSet<>(times.values()));
    assertEquals(count, answers.size());
  }

  /** Callers close connections to addresses that are missing from a newer answer. */
  @Test
  void lossChangesOnlyTheAddressOfTheLostEntry() {
    List<FleetMember> left = members(230, 0);
    String lost = left.remove(117).ip();
    for (FleetMember self : left) {
      List<String> before = answer(self, members(230, 0));
      Set<String> closed = new HashSet<>(before);
      answer(self, left).forEach(closed::remove);
      assertEquals(before.contains(lost) ? Set.of(lost) : Set.of(), closed);
    }
  }

  /** Deployments that run today must get the same answers in the same order. */
  @Test
  void upTo64EntriesAreNamedInTheirOrder() {
    List<FleetMember> all = members(64, 0);
    List<String> expected = new ArrayList<>(all.stream().map(FleetMember::ip).toList());
    expected.add(0, expected.remove(17));
    assertEquals(expected, answer(all.get(17), all));
  }

  private static List<String> regional(String dataCentre, String region) {
    List<FleetMember> others =
        List.of(member("2", "b", true), member("3", "b", true), member("4", "c", true));
    Map<String, String> regions = Map.of("a", "north", "b", "north", "c", "south");
    return FleetDirectory.selectEntries(
        member("1", "a", true), others, new CallerLocation(dataCentre, region), regions, 64);
  }

  /** Callers must not be sent to another region while their own has entries. */
  @Test
  void callerWhoseDataCentreHasTooFewEntriesGetsThoseOfItsRegion() {
    assertEquals(List.of("1", "2", "3"), regional("a", "south"), "the settings go first");
    assertEquals(List.of("1", "2", "3"), regional("unknown", "north"));
    assertEquals(List.of("2", "3"), regional("b", "north"));
    assertEquals(List.of("1", "2", "3", "4"), regional("c", "south"));
  }

  /** The few entries that are left couldn't take the callers of the others. */
  @Test
  void strainedEntriesAreLeftOutUnlessTheyAreMoreThanHalf() {
    assertEquals(5, answer(member("self", "a", true), members(9, 5)).size());
    assertEquals(10, answer(member("self", "a", true), members(9, 6)).size());
  }
}
