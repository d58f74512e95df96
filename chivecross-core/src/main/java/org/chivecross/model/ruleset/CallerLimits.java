package org.chivecross.model.ruleset;

/**
 * Limits on the size and duration of what callers send. Immutable.
 *
 * @param maxHeadBytes maximum size of a request head, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headTimeoutMillis time within which a head must be complete, in ms
 * @param idleTimeoutMillis time for which an idle connection is kept open, in ms
 */
public record CallerLimits(
    int maxHeadBytes, long maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {}
