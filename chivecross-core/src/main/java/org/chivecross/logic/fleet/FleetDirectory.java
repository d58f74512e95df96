package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.chivecross.model.fleet.CallerLocation;
import org.chivecross.model.fleet.FleetMember;

/**
 * Selects the entries that a caller should use: the ready ones in its own data centre; if that has
 * too few to tolerate the loss of one, those in its region, then all ready ones. Isolated entries
 * are left out unless all ready ones are isolated, and strained ones unless more than half of the
 * others of their data centre are strained. Stateless.
 */
public final class FleetDirectory {

  /** Entries in the caller's data centre or region below which a larger area is included. */
  private static final int MIN_ENTRIES = 2;

  private FleetDirectory() {}

  /** Returns the IP addresses of at most {@code maxEntries} entries, if no regions are known. */
  public static List<String> selectEntries(
      FleetMember self, List<FleetMember> others, String dataCentre, int maxEntries) {
    return selectEntries(self, others, new CallerLocation(dataCentre, ""), Map.of(), maxEntries);
  }

  /**
   * Returns the IP addresses of at most {@code maxEntries} entries. With more candidates, the
   * answers of different entries differ, and each one's is stable ({@link DirectoryRing}).
   *
   * @param caller location of the caller; if no entry runs there, all are included
   * @param regions region of each data centre that the settings name
   */
  public static List<String> selectEntries(
      FleetMember self,
      List<FleetMember> others,
      CallerLocation caller,
      Map<String, String> regions,
      int maxEntries) {
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
    List<FleetMember> usable = withoutStrained(notIsolated.isEmpty() ? ready : notIsolated);
    List<String> candidates = ipsNear(usable, caller, regions);
    return DirectoryRing.successors(self.ip(), candidates, maxEntries);
  }

  /**
   * Leaves out strained entries. Where more than half of a data centre's entries are strained, all
   * of them stay: the load is too high for the data centre, and the others couldn't take it.
   */
  private static List<FleetMember> withoutStrained(List<FleetMember> entries) {
    if (entries.stream().noneMatch(FleetMember::strained)) {
      return entries;
    }
    // Number of entries that are not strained less number of those that are.
    Map<String, Integer> margins = new HashMap<>();
    for (FleetMember entry : entries) {
      margins.merge(entry.dataCentre(), entry.strained() ? -1 : 1, Integer::sum);
    }
    return entries.stream()
        .filter(entry -> !entry.strained() || margins.getOrDefault(entry.dataCentre(), 0) < 0)
        .toList();
  }

  private static List<String> ipsNear(
      List<FleetMember> entries, CallerLocation caller, Map<String, String> regions) {
    String dataCentre = caller.dataCentre();
    String region = regions.getOrDefault(dataCentre, caller.region());
    List<String> local = ips(entries, member -> member.dataCentre().equals(dataCentre));
    if (local.size() >= MIN_ENTRIES || regions.isEmpty() || region.isEmpty()) {
      return preferLocal(entries, dataCentre);
    }
    List<String> regional = ips(entries, member -> region.equals(regions.get(member.dataCentre())));
    return regional.size() >= MIN_ENTRIES ? regional : ips(entries, member -> true);
  }

  /**
   * Returns the IP addresses of the entries in a data centre, or of all entries when it has too few
   * of them.
   */
  static List<String> preferLocal(List<FleetMember> entries, String dataCentre) {
    List<String> local = ips(entries, member -> member.dataCentre().equals(dataCentre));
    return local.size() >= MIN_ENTRIES ? local : ips(entries, member -> true);
  }

  private static List<String> ips(List<FleetMember> entries, Predicate<FleetMember> filter) {
    return entries.stream().filter(filter).map(FleetMember::ip).toList();
  }
}
