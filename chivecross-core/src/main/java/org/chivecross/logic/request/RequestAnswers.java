package org.chivecross.logic.request;

import java.util.Optional;
import java.util.OptionalLong;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.Outcome;

/**
 * The answers that an entry gives itself to one request. Invariant: only a {@link NotRunProof}
 * makes an answer say that the request did not run. Not thread-safe.
 */
final class RequestAnswers {

  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final AttemptTable attempts;
  private final RequestRecorder recorder;

  RequestAnswers(AttemptTable attempts, RequestRecorder recorder) {
    this.attempts = attempts;
    this.recorder = recorder;
  }

  /**
   * Returns the answer to a request that is given up, whose attempts are closed: a refusal when it
   * provably did not run, otherwise an unknown outcome.
   */
  Decision givenUp(Failure failure, long retryAfterMillis, long nowNanos) {
    Optional<NotRunProof> proof = NotRunProof.of(attempts);
    if (proof.isPresent()) {
      recorder.answered(UNAVAILABLE, failure, retryAfterMillis, nowNanos);
      return new Decision.Answer(
          UNAVAILABLE, proof.get().outcome(), failure, OptionalLong.of(retryAfterMillis));
    }
    int status = failure.peer().equals(Failure.LOCAL) ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    recorder.answered(status, failure, 0, nowNanos);
    return new Decision.Answer(status, Outcome.UNKNOWN, failure, OptionalLong.empty());
  }

  /** Returns the answer to a request that was not placed; its attempts are closed. */
  Decision notPlaced(int status, String detail, long retryAfterMillis, long nowNanos) {
    Outcome outcome = NotRunProof.of(attempts).map(NotRunProof::outcome).orElse(Outcome.UNKNOWN);
    Failure failure = new Failure(Step.ROUTE, Failure.LOCAL, detail);
    recorder.answered(status, failure, retryAfterMillis, nowNanos);
    return new Decision.Answer(
        status,
        outcome,
        failure,
        retryAfterMillis > 0 ? OptionalLong.of(retryAfterMillis) : OptionalLong.empty());
  }
}
