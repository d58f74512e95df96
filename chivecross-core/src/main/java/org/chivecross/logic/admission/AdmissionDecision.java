package org.chivecross.logic.admission;

/** Decision about one request at one time. Immutable. */
public sealed interface AdmissionDecision {

  /** The service is under no pressure; the request is placed as if there were no order. */
  record Unordered() implements AdmissionDecision {}

  /**
   * The request is placed as soon as a suitable target is found.
   *
   * @param isLastChance whether any target that meets the deadline is suitable, since the request
   *     has waited as long as it may
   */
  record PlaceNow(boolean isLastChance) implements AdmissionDecision {}

  /**
   * The request leaves targets with little room to others.
   *
   * @param recheckMillis time until the next probe or look at reports, in ms
   */
  record Yield(long recheckMillis) implements AdmissionDecision {}

  /**
   * The request is refused, since it can't be served in time or others go first.
   *
   * @param cause cause for logs
   */
  record RefuseNow(String cause) implements AdmissionDecision {}
}
