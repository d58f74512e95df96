package org.chivecross.model.fleet;

/**
 * One entry's share of the request limit of a target. Immutable.
 *
 * @param requestsPerSecond requests per second that the entry may send on average
 * @param burst requests that it may send at once
 * @param ageMillis time since the last response that named the limit to any entry, in ms
 */
public record LimitShare(double requestsPerSecond, double burst, long ageMillis) {

  /** Returns the share of an entry that sends nothing to the target. */
  public static LimitShare none(long ageMillis) {
    return new LimitShare(0, 0, ageMillis);
  }
}
