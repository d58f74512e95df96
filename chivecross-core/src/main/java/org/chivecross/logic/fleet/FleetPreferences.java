package org.chivecross.logic.fleet;

import java.util.List;

/**
 * Settings of an entry among the others. Immutable.
 *
 * @param ip IP number of this VM
 * @param dataCentre data centre of this VM
 * @param incarnation number that this process drew at its start
 * @param seeds IP numbers of VMs on which entries are likely to run
 * @param firstStart whether all entries start for the first time, so that no caller waits yet
 */
public record FleetPreferences(
    String ip, String dataCentre, long incarnation, List<String> seeds, boolean firstStart) {

  public FleetPreferences {
    seeds = List.copyOf(seeds);
  }
}
