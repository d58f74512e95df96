package org.chivecross.model.fleet;

/**
 * Run of a target whose registration was removed from the store. Immutable.
 *
 * @param incarnation the run
 * @param era era of the store in which it was removed
 */
public record RemovedTarget(TargetIncarnation incarnation, long era) {}
