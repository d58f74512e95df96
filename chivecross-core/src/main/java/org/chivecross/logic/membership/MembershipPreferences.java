package org.chivecross.logic.membership;

import java.util.concurrent.TimeUnit;

/**
 * Times and counts of failure detection. Immutable.
 *
 * @param rings number of rings; each entry probes its successor on each of them
 * @param probePeriodNanos time between two probes of the same entry, in ns
 * @param directTimeoutNanos time after which others are asked to probe it, in ns
 * @param suspicionTimeoutNanos time that a suspect has to refute, in ns
 * @param rejoinPeriodNanos time between two calls to an address that no live entry has, in ns
 * @param deadRetentionNanos time for which a dead entry is remembered, in ns
 * @param pauseThresholdNanos time without a tick after which this process counts as paused, in ns
 * @param indirectProbers entries that are asked to probe
 */
public record MembershipPreferences(
    int rings,
    long probePeriodNanos,
    long directTimeoutNanos,
    long suspicionTimeoutNanos,
    long rejoinPeriodNanos,
    long deadRetentionNanos,
    long pauseThresholdNanos,
    int indirectProbers) {

  /** Returns the preferences that entries use. */
  public static MembershipPreferences standard() {
    return new MembershipPreferences(
        4,
        TimeUnit.SECONDS.toNanos(1),
        TimeUnit.MILLISECONDS.toNanos(500),
        TimeUnit.SECONDS.toNanos(3),
        TimeUnit.SECONDS.toNanos(2),
        TimeUnit.MINUTES.toNanos(10),
        TimeUnit.MILLISECONDS.toNanos(800),
        3);
  }
}
