package org.chivecross.model.ruleset;

/**
 * Settings of all targets of one service. Immutable.
 *
 * @param name name of the service
 * @param healthPath path on which a target reports its health and load
 * @param maxConnections maximum number of connections that one target accepts in total
 */
public record ServiceRule(String name, String healthPath, int maxConnections) {}
