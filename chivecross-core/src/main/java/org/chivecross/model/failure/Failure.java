package org.chivecross.model.failure;

import java.util.Objects;

/**
 * A failure with the step and the peer at which it arose. Immutable and safe for use by any thread.
 *
 * @param step step of the work that failed
 * @param peer address or name of the other side; "local" when no other side was involved
 * @param detail what happened, in one line
 */
public record Failure(Step step, String peer, String detail) {

  /** Peer of a failure that involves this process alone. */
  public static final String LOCAL = "local";

  public Failure {
    Objects.requireNonNull(step, "step");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(detail, "detail");
  }

  @Override
  public String toString() {
    return step + " at " + peer + ": " + detail;
  }
}
