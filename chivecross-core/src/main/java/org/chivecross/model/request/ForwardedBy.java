package org.chivecross.model.request;

/**
 * What an entry that forwarded a request tells the receiving one. Immutable.
 *
 * @param rulesVersion version of the rules in force at the forwarding entry
 * @param earlierAttempts attempts that the forwarding entry sent before
 */
public record ForwardedBy(long rulesVersion, int earlierAttempts) {}
