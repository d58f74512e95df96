package org.chivecross.logic.request;

import java.util.Optional;
import org.chivecross.model.request.Outcome;

/**
 * Proof that a request was not run. The only way to {@link Outcome#NOT_RUN} and {@link
 * Outcome#EXPIRED} for a request.
 *
 * <p>Invariant: when it exists, every attempt is closed, and each of them either let no byte leave
 * or was answered with {@code Chivecross-Not-Run}. Since a closed attempt can't send, the proof
 * stays true. Immutable.
 */
final class NotRunProof {

  private final boolean nothingSent;

  private NotRunProof(boolean nothingSent) {
    this.nothingSent = nothingSent;
  }

  /** Returns the proof, or empty when an attempt is open or may have been run. */
  static Optional<NotRunProof> of(AttemptTable attempts) {
    for (int i = 0; i < attempts.size(); i++) {
      if (attempts.mayHaveRun(i)) {
        return Optional.empty();
      }
    }
    return Optional.of(new NotRunProof(attempts.nothingSent()));
  }

  /** Returns the outcome of a request that was given up. */
  Outcome outcome() {
    return Outcome.NOT_RUN;
  }

  /** Returns the outcome of a request whose deadline passed. */
  Outcome outcomeAfterDeadline() {
    return nothingSent ? Outcome.EXPIRED : Outcome.NOT_RUN;
  }
}
