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
}
