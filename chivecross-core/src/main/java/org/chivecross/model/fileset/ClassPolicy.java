package org.chivecross.model.fileset;

/**
 * Policy of one service for one request class: deadline, retries and hedging.
 *
 * @param deadlineMillis default deadline of a request, in ms, for callers that set none
 * @param retryFraction retry budget as a fraction of successes, 0 to 1
 * @param hedgeFraction hedged requests allowed as a fraction of requests, 0 to 1; 0 disables
 *     hedging
 */
public record ClassPolicy(int deadlineMillis, double retryFraction, double hedgeFraction) {}
