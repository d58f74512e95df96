package org.chivecross.model.fleet;

import java.util.OptionalDouble;

/**
 * What a run of a target last said about its request limit. Immutable.
 *
 * @param requestsPerSecond requests per second that it takes from all entries together; empty if it
 *     no longer names a limit
 * @param ageMillis time since the response that said so, in ms
 */
public record TargetLimit(
    TargetIncarnation incarnation, OptionalDouble requestsPerSecond, long ageMillis) {}
