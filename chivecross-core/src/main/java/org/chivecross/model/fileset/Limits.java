package org.chivecross.model.fileset;

/**
 * Limits of a tenant or a service, over the whole system.
 *
 * @param concurrency most requests in service at once
 * @param ratePerSecond most requests started in a second
 * @param burst most requests started at once after a quiet time
 */
public record Limits(int concurrency, int ratePerSecond, int burst) {}
