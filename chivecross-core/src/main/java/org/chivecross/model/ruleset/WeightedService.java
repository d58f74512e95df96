package org.chivecross.model.ruleset;

/**
 * Service that receives a share of a route's requests. Immutable.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the weights of the other services; above 0
 */
public record WeightedService(String service, double weight) {}
