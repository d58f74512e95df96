package org.chivecross.model.peer;

/**
 * A target that was seen leaving.
 *
 * @param target {@code ip:port} of the target
 * @param ageMillis time since it was seen, in ms
 */
public record LeavingMark(String target, long ageMillis) {}
