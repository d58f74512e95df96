package org.chivecross.logic.membership;

import java.util.concurrent.TimeUnit;

/**
 * Settings of the gossip membership and its failure detector. Immutable.
 *
 * @param rings number of rings; each entry probes its successor on each of them
 * @param probePeriodNanos interval between two probes of the same entry, in ns
 * @param directTimeoutNanos time without an answer after which other entries are asked to probe
 *     indirectly, in ns
 * @param suspicionTimeoutNanos time after which a suspected entry that has not refuted is declared
 *     dead, in ns
 * @param rejoinPeriodNanos mean interval between two rounds of pings to addresses at which no live
 *     entry is known, in ns
 * @param deadRetentionNanos time for which a dead entry stays in the table, in ns
 * @param pauseThresholdNanos time without a tick after which this process counts as paused, in ns
 * @param indirectProbers number of entries that are asked for an indirect probe
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
