package org.chivecross.logic.dispatch;

import org.chivecross.model.failure.Failure;

/** Result of one placement step of a request. Immutable. */
public sealed interface Placement {

  /**
   * The request goes to a target.
   *
   * @param target row of the target
   */
  record Chosen(int target) implements Placement {}

  /**
   * No target is chosen yet; placement is called again when a probe ends, or at a time.
   *
   * @param placeAgainAtNanos monotonic time of the next call at the latest
   */
  record Pending(long placeAgainAtNanos) implements Placement {}

  /**
   * No target can serve the request in time.
   *
   * @param failure cause
   * @param retryAfterMillis delay after which a retry is likely to succeed, in ms
   */
  record Refused(Failure failure, long retryAfterMillis) implements Placement {}
}
