package org.chivecross.logic.config;

import java.util.concurrent.TimeUnit;

/**
 * Settings of the configuration replication: intervals, timeouts and call budgets. Immutable.
 *
 * @param readers number of entries that watch the platform
 * @param directReadNanos mean interval between direct reads of the manifest by one entry, in ns
 * @param watchMillis maximum duration of one watch, in ms
 * @param requestTimeoutNanos time within which a manifest or file must arrive after its request, in
 *     ns
 * @param callsPerSecond sustained rate of platform calls of this entry
 * @param callBurst platform calls that this entry may make in a burst
 * @param noReadyPeerWaitNanos time since the start for which this entry waits for a ready peer when
 *     peers are alive but none is ready, in ns
 * @param noPeerWaitNanos time since the start for which this entry waits for any live peer, in ns;
 *     0 when no peer is configured
 */
public record ConfigPreferences(
    int readers,
    long directReadNanos,
    long watchMillis,
    long requestTimeoutNanos,
    double callsPerSecond,
    int callBurst,
    long noReadyPeerWaitNanos,
    long noPeerWaitNanos) {

  private static final int READER_COUNT = 3;
  private static final double PLATFORM_CALLS_PER_SECOND = 2_000;
  private static final double DEPLOYMENT_SHARE_OF_PLATFORM_CALLS = 0.05;
  private static final long MIN_DIRECT_READ_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long DIRECT_READ_NANOS_PER_ENTRY = TimeUnit.MILLISECONDS.toNanos(30);
  private static final int CALL_BURST = 10;

  /**
   * Returns the preferences for a deployment.
   *
   * @param entryBound configured upper bound on entries; the shares of the call budget are divided
   *     by it and not by the number of entries that are currently alive
   * @param peersConfigured whether the settings list peers
   */
  public static ConfigPreferences forBound(int entryBound, boolean peersConfigured) {
    return new ConfigPreferences(
        READER_COUNT,
        Math.max(MIN_DIRECT_READ_NANOS, entryBound * DIRECT_READ_NANOS_PER_ENTRY),
        TimeUnit.SECONDS.toMillis(30),
        TimeUnit.SECONDS.toNanos(1),
        PLATFORM_CALLS_PER_SECOND * DEPLOYMENT_SHARE_OF_PLATFORM_CALLS / entryBound,
        CALL_BURST,
        TimeUnit.SECONDS.toNanos(5),
        peersConfigured ? TimeUnit.SECONDS.toNanos(30) : 0);
  }
}
