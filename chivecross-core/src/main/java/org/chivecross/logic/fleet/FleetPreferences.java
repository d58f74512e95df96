package org.chivecross.logic.fleet;

import java.util.List;

/**
 * Settings of one entry's gossip protocol. Immutable.
 *
 * @param ip IP address of this VM
 * @param dataCentre data centre of this VM
 * @param incarnation random number that identifies this run of the process
 * @param seeds IP addresses of VMs on which entries are likely to run
 * @param firstStart whether the whole fleet starts for the first time; there are no callers yet
 */
public record FleetPreferences(
    String ip, String dataCentre, long incarnation, List<String> seeds, boolean firstStart) {

  public FleetPreferences {
    seeds = List.copyOf(seeds);
  }
}
