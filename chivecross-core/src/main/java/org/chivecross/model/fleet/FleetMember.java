package org.chivecross.model.fleet;

/**
 * An entry as another one knows it. Immutable.
 *
 * @param ip IP number of its VM; ports are the same on all VMs
 * @param incarnation number that a process draws at its start
 * @param dataCentre data centre that it runs in
 * @param ready whether it takes new callers
 * @param ageMillis time since it was heard, in ms
 * @param requestsPerSecond requests that it takes from callers in a second
 */
public record FleetMember(
    String ip,
    long incarnation,
    String dataCentre,
    boolean ready,
    long ageMillis,
    int requestsPerSecond) {}
