package org.chivecross.model.fileset;

/**
 * Rules of one service for one request class.
 *
 * @param deadlineMillis default time for the whole request, in ms, when the caller states none
 * @param retryFraction retries allowed as a fraction of successes, 0 to 1
 * @param hedgeFraction hedged requests allowed as a fraction of requests, 0 to 1; 0 turns it off
 */
public record ClassPolicy(int deadlineMillis, double retryFraction, double hedgeFraction) {}
