package org.chivecross.logic.dispatch;

import org.chivecross.model.failure.Failure;

/** Answer to a request that looks for a target. Immutable. */
public sealed interface Placement {

  /**
   * Send the request to a target.
   *
   * @param target row of the target
   */
  record Chosen(int target) implements Placement {}

  /**
   * Ask again when woken, or at a time.
   *
   * @param placeAgainAtNanos monotonic time at which to ask again
   */
  record Pending(long placeAgainAtNanos) implements Placement {}

  /**
   * No target can serve the request in time.
   *
   * @param failure why
   * @param retryAfterMillis when another try is likely to succeed, in ms
   */
  record Refused(Failure failure, long retryAfterMillis) implements Placement {}
}
