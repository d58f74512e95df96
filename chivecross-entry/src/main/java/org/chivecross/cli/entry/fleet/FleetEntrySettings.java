package org.chivecross.cli.entry.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import org.chivecross.logic.dispatch.DispatchPreferences;

/**
 * Settings of an entry that runs on the platform. Immutable.
 *
 * @param name name of this entry in logs
 * @param ip IP address of this VM
 * @param dataCentre data centre of this VM
 * @param callers address for callers
 * @param readiness address of the readiness check that the platform calls
 * @param directory address on which callers request the addresses of entries
 * @param metrics address on which metrics are served
 * @param peers address for datagrams from other entries
 * @param seeds IP addresses of VMs on which entries are likely to run
 * @param firstStart whether the whole fleet starts for the first time; there are no callers yet
 * @param graceMillis time from the stop request until the platform kills the process, in ms
 * @param dispatch settings for placing requests on targets
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
