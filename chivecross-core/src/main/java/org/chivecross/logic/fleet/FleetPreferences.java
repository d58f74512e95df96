package org.chivecross.logic.fleet;

import java.util.List;

/**
 * Settings of an entry among the others. Immutable.
 *
 * @param ip IP number of this VM
 * @param dataCentre data centre of this VM
 * @param incarnation number that this process drew at its start
 * @param seeds IP numbers of VMs on which entries are likely to run
 */
public record FleetPreferences(String ip, String dataCentre, long incarnation, List<String> seeds) {

  public FleetPreferences {
    seeds = List.copyOf(seeds);
  }
}
