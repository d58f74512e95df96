package org.chivecross.logic.config;

import java.util.concurrent.TimeUnit;

/**
 * Times and budgets of the configuration. Immutable.
 *
 * @param readers entries that watch the platform
 * @param directReadNanos mean time between direct reads of one entry, in ns
 * @param watchMillis longest wait of one watch, in ms
 * @param requestTimeoutNanos time that a peer has to send a piece, in ns
 * @param callsPerSecond platform calls that this entry may make in a second
 * @param callBurst platform calls that this entry may make at once
 * @param noReadyPeerWaitNanos wait for a ready peer while peers answer that none is ready, in ns
 * @param noPeerWaitNanos wait for any peer while none answers, in ns; 0 when no peer is configured
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

  private static final int READERS = 3;
  private static final double PLATFORM_CALLS_PER_SECOND = 2_000;
  private static final double PLATFORM_FRACTION = 0.05;
  private static final long MIN_DIRECT_READ_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long DIRECT_READ_NANOS_PER_ENTRY = TimeUnit.MILLISECONDS.toNanos(30);
  private static final int CALL_BURST = 10;

  /**
   * Returns the preferences for a deployment.
   *
   * @param entryBound configured upper bound on entries; shares are divided by it, never by the
   *     number believed alive
   * @param peersConfigured whether the settings name peers
   */
  public static ConfigPreferences forBound(int entryBound, boolean peersConfigured) {
    return new ConfigPreferences(
        READERS,
        Math.max(MIN_DIRECT_READ_NANOS, entryBound * DIRECT_READ_NANOS_PER_ENTRY),
        TimeUnit.SECONDS.toMillis(30),
        TimeUnit.SECONDS.toNanos(1),
        PLATFORM_CALLS_PER_SECOND * PLATFORM_FRACTION / entryBound,
        CALL_BURST,
        TimeUnit.SECONDS.toNanos(5),
        peersConfigured ? TimeUnit.SECONDS.toNanos(30) : 0);
  }
}
