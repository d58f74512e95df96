package org.chivecross.model.ruleset;

/**
 * What a caller may send and how long it may take. Immutable.
 *
 * @param maxHeadBytes most bytes of a request head
 * @param maxBodyBytes most bytes of a request body
 * @param headTimeoutMillis time within which a head must be complete, in ms
 * @param idleTimeoutMillis time for which an idle connection is kept open, in ms
 */
public record CallerLimits(
    int maxHeadBytes, long maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {}
