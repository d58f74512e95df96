package org.chivecross.model.request;

/** Result of a probe of a target. Immutable. */
public sealed interface ProbeResult {

  /**
   * The target responded.
   *
   * @param healthy whether it considers itself healthy
   */
  record Responded(boolean healthy, ResponseHead head) implements ProbeResult {}

  /**
   * No response arrived in time.
   *
   * @param refused whether the target refused the connection
   */
  record Failed(boolean refused) implements ProbeResult {}

  /** This entry could not probe the target for a reason of its own; the target is not judged. */
  record NotMade() implements ProbeResult {}
}
