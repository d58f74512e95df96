package org.chivecross.model.fleet;

import java.util.List;

/**
 * Last known state of an entry, as another entry has received it. Immutable.
 *
 * @param ip IP address of its VM; ports are the same on all VMs
 * @param incarnation random number that identifies one run of the process
 * @param dataCentre data centre that it runs in
 * @param ready whether it accepts new callers
 * @param isolated whether it reaches no upstream while other entries do
 * @param ageMillis time since its last message, in ms
 * @param requestsPerSecond requests per second that it receives from callers
 * @param strained whether it lacks processor time for its requests
 * @param serviceLoads pressure on services as it sees it
 */
public record FleetMember(
    String ip,
    long incarnation,
    String dataCentre,
    boolean ready,
    boolean isolated,
    long ageMillis,
    int requestsPerSecond,
    boolean strained,
    List<ServiceLoad> serviceLoads) {

  public FleetMember {
    serviceLoads = List.copyOf(serviceLoads);
  }

  /** Creates the state of an entry that advertises no load. */
  public FleetMember(
      String ip,
      long incarnation,
      String dataCentre,
      boolean ready,
      boolean isolated,
      long ageMillis,
      int requestsPerSecond) {
    this(
        ip,
        incarnation,
        dataCentre,
        ready,
        isolated,
        ageMillis,
        requestsPerSecond,
        false,
        List.of());
  }
}
