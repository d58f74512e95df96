package org.chivecross.logic.probe;

/**
 * Cost of the probes of this entry since its start, and its share of the budget. Immutable.
 *
 * @param probes probes sent
 * @param bytes bytes of probes and their answers
 * @param spentMillis slot time spent on probes, in ms
 * @param allowedMillis slot time allowed by this entry's share of the budget, in ms
 */
public record ProbeCost(long probes, long bytes, double spentMillis, double allowedMillis) {}
