package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.chivecross.model.fleet.FleetMember;
import org.junit.jupiter.api.Test;

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
}
