package org.chivecross.model.fileset;

/**
 * Limits of a tenant or a service, over all entries together.
 *
 * @param concurrency maximum number of requests in service at the same time
 * @param ratePerSecond maximum rate of started requests
 * @param burst maximum number of requests started in a burst (size of the token bucket)
 */
public record Limits(int concurrency, int ratePerSecond, int burst) {}
