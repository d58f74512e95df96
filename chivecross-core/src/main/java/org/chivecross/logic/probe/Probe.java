package org.chivecross.logic.probe;

/**
 * A probe to be sent now.
 *
 * @param target row of the target
 * @param deadlineNanos monotonic time at which it must be cancelled
 */
public record Probe(int target, long deadlineNanos) {}
