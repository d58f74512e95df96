package org.chivecross.logic.balance;

/**
 * Weights of {@link ReportedLoadScore}. Immutable.
 *
 * @param reportDecayLatencies time constant with which the weight of a report decays, in mean
 *     latencies of the service
 * @param stallLatencies time without progress after which a target with attempts in flight counts
 *     as stalled, in mean latencies of the service
 * @param stallLoad load added to a stalled target, in requests for each slot
 * @param unreliabilityWeight weight of the unreliability of a target's reports
 * @param roundTripWeight weight of the round trip to another data centre
 */
public record ScorePreferences(
    double reportDecayLatencies,
    double stallLatencies,
    double stallLoad,
    double unreliabilityWeight,
    double roundTripWeight) {

  /** Preferences of the default policy. */
  public static final ScorePreferences DEFAULT = new ScorePreferences(1, 2, 1, 1, 1);
}
