package org.chivecross.logic.request;

import java.util.Optional;
import org.chivecross.model.request.Outcome;

/**
 * Proof that a request was not run. The outcomes {@link Outcome#NOT_RUN} and {@link
 * Outcome#EXPIRED} of a request can be obtained only from this proof.
 *
 * <p>Invariant: every attempt is closed, and each was either never sent or was answered with {@code
 * Chivecross-Not-Run}. Since a closed attempt can't send, the proof stays valid. Immutable.
 */
final class NotRunProof {

  private final boolean nothingSent;

  private NotRunProof(boolean nothingSent) {
    this.nothingSent = nothingSent;
  }

  /** Returns the proof, or empty when an attempt is open or may have run. */
  static Optional<NotRunProof> of(AttemptTable attempts) {
    for (int i = 0; i < attempts.size(); i++) {
      if (attempts.mayHaveRun(i)) {
        return Optional.empty();
      }
    }
    return Optional.of(new NotRunProof(attempts.nothingSent()));
  }

  /** Returns the outcome of a request that no target has run. */
  Outcome outcome() {
    return Outcome.NOT_RUN;
  }

  /** Returns the outcome of a request whose deadline passed. */
  Outcome outcomeAfterDeadline() {
    return nothingSent ? Outcome.EXPIRED : Outcome.NOT_RUN;
  }
}
