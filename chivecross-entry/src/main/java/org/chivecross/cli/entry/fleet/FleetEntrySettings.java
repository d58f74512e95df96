package org.chivecross.cli.entry.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import org.chivecross.logic.dispatch.DispatchPreferences;

/**
 * Settings of an entry on the platform. Immutable.
 *
 * @param name name of this entry in logs
 * @param ip IP number of this VM
 * @param dataCentre data centre of this VM
 * @param callers address for callers
 * @param readiness address on which the platform asks whether this entry is ready
 * @param directory address on which callers ask for entries
 * @param metrics address on which metrics are served
 * @param peers address for the datagrams of other entries
 * @param seeds IP numbers of VMs on which entries are likely to run
 * @param firstStart whether all entries start for the first time, so that no caller waits yet
 * @param graceMillis time from a request to stop until the process is killed, in ms
 * @param dispatch settings of the placement of requests
 */
public record FleetEntrySettings(
    String name,
    String ip,
    String dataCentre,
    InetSocketAddress callers,
    InetSocketAddress readiness,
    InetSocketAddress directory,
    InetSocketAddress metrics,
    InetSocketAddress peers,
    List<String> seeds,
    boolean firstStart,
    long graceMillis,
    DispatchPreferences dispatch) {

  public FleetEntrySettings {
    seeds = List.copyOf(seeds);
  }
}
