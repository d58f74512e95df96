package org.chivecross.logic.dispatch;

/**
 * Numbers of requests that the order under overload changed. Immutable.
 *
 * @param yielded requests that left a target to others
 * @param refusedForDeadline requests refused since no target would have met their deadline
 * @param refusedForUrgency requests refused since more urgent routes were served less often
 */
public record OrderCounts(long yielded, long refusedForDeadline, long refusedForUrgency) {}
