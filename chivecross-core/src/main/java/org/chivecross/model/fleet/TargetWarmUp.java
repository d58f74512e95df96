package org.chivecross.model.fleet;

/**
 * A run of a target that warms up. Immutable.
 *
 * @param remainingMillis time until it is warm, in ms
 */
public record TargetWarmUp(TargetIncarnation incarnation, long remainingMillis) {}
