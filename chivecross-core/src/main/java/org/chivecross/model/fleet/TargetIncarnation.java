package org.chivecross.model.fleet;

/**
 * One run of a target. Immutable.
 *
 * @param id name of the target
 * @param startedAtMillis start of the run, in ms since the epoch of the target's own clock
 */
public record TargetIncarnation(String id, long startedAtMillis) {}
