package org.chivecross.logic.probe;

/**
 * A probe that the shell must send now.
 *
 * @param target row of the target
 * @param deadlineNanos monotonic time at which it must be cancelled
 */
public record Probe(int target, long deadlineNanos) {}
