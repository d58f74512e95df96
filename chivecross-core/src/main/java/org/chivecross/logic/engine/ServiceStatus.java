package org.chivecross.logic.engine;

/**
 * Status of a service for the administration API. Immutable.
 *
 * @param row row of the service
 * @param name name of the service
 * @param tenant name of its owner
 * @param inFlight requests admitted by this entry and not yet finished
 * @param targets number of its targets
 * @param usableTargets number of targets that may receive new requests
 * @param loadPerSlot mean load that its targets report, in requests for each slot
 * @param latencyMillis moving mean of the latency of its targets, in ms
 */
public record ServiceStatus(
    int row,
    String name,
    String tenant,
    int inFlight,
    int targets,
    int usableTargets,
    double loadPerSlot,
    long latencyMillis) {}
