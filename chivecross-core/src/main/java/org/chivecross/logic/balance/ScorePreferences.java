package org.chivecross.logic.balance;

/**
 * Weights of the load score. Immutable.
 *
 * @param reportDecayLatencies age at which a report has lost most of its weight, in mean latencies
 * @param stallLatencies time without progress after which a target counts as stalled, in mean
 *     latencies
 * @param stallLoad load added to a stalled target, in requests for each slot
 * @param unreliabilityWeight weight of doubts about the reports of a target
 * @param roundTripWeight weight of the trip to another data centre
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
