package org.chivecross.logic.probe;

/**
 * What measuring cost this entry since its start, beside its share of the budget. Immutable.
 *
 * @param probes probes sent
 * @param bytes bytes of probes and their answers
 * @param spentMillis slot time that they cost, in ms
 * @param allowedMillis slot time that this entry's share of the budget allowed, in ms
 */
public record ProbeCost(long probes, long bytes, double spentMillis, double allowedMillis) {}
