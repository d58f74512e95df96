package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.List;
import org.chivecross.model.fleet.FleetMember;

/**
 * Names the entries that a caller should use: those that are ready in its own data centre, and all
 * ready ones when these are too few to bear the loss of one. Stateless.
 */
public final class FleetDirectory {

  /** Entries of the caller's data centre below which those of the others are named as well. */
  private static final int ENOUGH = 2;

  private FleetDirectory() {}

  /**
   * Returns the IP numbers of entries, at most {@code most}.
   *
   * @param dataCentre data centre of the caller; entries of all are named when it has none
   */
  public static List<String> selectEntries(
      FleetMember self, List<FleetMember> others, String dataCentre, int most) {
    List<FleetMember> ready = new ArrayList<>();
    if (self.ready()) {
      ready.add(self);
    }
    for (FleetMember other : others) {
      if (other.ready()) {
        ready.add(other);
      }
    }
    List<String> near =
        ready.stream()
            .filter(member -> member.dataCentre().equals(dataCentre))
            .map(FleetMember::ip)
            .toList();
    List<String> named =
        near.size() >= ENOUGH ? near : ready.stream().map(FleetMember::ip).toList();
    return named.subList(0, Math.min(most, named.size()));
  }
}
