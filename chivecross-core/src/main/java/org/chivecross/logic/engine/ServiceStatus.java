package org.chivecross.logic.engine;

/**
 * What the engine knows of a service, for the administration API. Immutable.
 *
 * @param row row of the service
 * @param name name of the service
 * @param tenant name of its owner
 * @param inFlight admitted requests of this entry that are not over
 * @param targets number of its targets
 * @param usableTargets number of targets that may take new work
 */
public record ServiceStatus(
    int row, String name, String tenant, int inFlight, int targets, int usableTargets) {}
