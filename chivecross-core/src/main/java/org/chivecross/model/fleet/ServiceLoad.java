package org.chivecross.model.fleet;

/**
 * Pressure on a service as one entry sees it. Immutable.
 *
 * @param serviceHash hash of the name of the service
 * @param pressure demand relative to what the targets of the service can serve; from 0
 */
public record ServiceLoad(int serviceHash, double pressure) {}
