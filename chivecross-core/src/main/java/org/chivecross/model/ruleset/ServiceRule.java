package org.chivecross.model.ruleset;

/**
 * What holds for all targets of one service. Immutable.
 *
 * @param name name of the service
 * @param healthPath path on which a target answers with its health and load
 * @param maxConnections most connections that one target accepts from all callers together
 */
public record ServiceRule(String name, String healthPath, int maxConnections) {}
