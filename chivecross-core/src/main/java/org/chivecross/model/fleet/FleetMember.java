package org.chivecross.model.fleet;

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
 */
public record FleetMember(
    String ip,
    long incarnation,
    String dataCentre,
    boolean ready,
    boolean isolated,
    long ageMillis,
    int requestsPerSecond) {}
