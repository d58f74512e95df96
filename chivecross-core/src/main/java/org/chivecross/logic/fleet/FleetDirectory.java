package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.List;
import org.chivecross.model.fleet.FleetMember;

/**
 * Selects the entries that a caller should use: the ready ones in its own data centre, or all ready
 * ones when its data centre has too few to tolerate the loss of one. Isolated entries are left out
 * unless all ready ones are isolated. Stateless.
 */
public final class FleetDirectory {

  /** Entries in the caller's data centre below which all data centres are included. */
  private static final int MIN_LOCAL_ENTRIES = 2;

  private FleetDirectory() {}

  /**
   * Returns the IP addresses of at most {@code maxEntries} entries.
   *
   * @param dataCentre data centre of the caller; if no entry runs there, all are included
   */
  public static List<String> selectEntries(
      FleetMember self, List<FleetMember> others, String dataCentre, int maxEntries) {
    List<FleetMember> ready = new ArrayList<>();
    if (self.ready()) {
      ready.add(self);
    }
    for (FleetMember other : others) {
      if (other.ready()) {
        ready.add(other);
      }
    }
    List<FleetMember> notIsolated = ready.stream().filter(member -> !member.isolated()).toList();
    List<String> selected = preferLocal(notIsolated.isEmpty() ? ready : notIsolated, dataCentre);
    return selected.subList(0, Math.min(maxEntries, selected.size()));
  }

  /**
   * Returns the IP addresses of the entries in a data centre, or of all entries when it has too few
   * of them.
   */
  static List<String> preferLocal(List<FleetMember> entries, String dataCentre) {
    List<String> local =
        entries.stream()
            .filter(member -> member.dataCentre().equals(dataCentre))
            .map(FleetMember::ip)
            .toList();
    return local.size() >= MIN_LOCAL_ENTRIES
        ? local
        : entries.stream().map(FleetMember::ip).toList();
  }
}
