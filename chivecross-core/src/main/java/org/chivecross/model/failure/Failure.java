package org.chivecross.model.failure;

import java.util.Objects;

/**
 * A failure with the step and the peer at which it occurred. Immutable and safe for use by many
 * threads.
 *
 * @param step step that failed
 * @param peer address or name of the other side; "local" if no other side was involved
 * @param detail what happened, in one line
 */
public record Failure(Step step, String peer, String detail) {

  /** Peer of a failure that involves only this process. */
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
