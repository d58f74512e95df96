package org.chivecross.logic.request;

import java.util.Optional;
import java.util.OptionalLong;
import org.chivecross.logic.limit.AdmissionControl;
import org.chivecross.logic.limit.AdmissionControl.Verdict;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.RequestHead;

/**
 * Builds the answers that the entry itself gives. Each takes the proof that the request was not
 * run, if there is one, and states no more than the proof supports. Immutable.
 */
final class Refusals {

  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final AdmissionControl admission;

  Refusals(AdmissionControl admission) {
    this.admission = admission;
  }

  /** Returns the name of a target in failures; the entry's I/O layer replaces it by the address. */
  String peerPlaceholder(int target) {
    return "target " + target;
  }

  /** Returns the outcome of a request that ends without an answer of a target. */
  Outcome outcomeOf(Optional<NotRunProof> proof) {
    return proof.map(NotRunProof::outcome).orElse(Outcome.UNKNOWN);
  }

  Decision.Answer noRoute(Optional<NotRunProof> proof, RequestHead head) {
    Failure failure = local(Step.ROUTE, "no rule for " + head.method() + " " + head.path());
    return new Decision.Answer(NOT_FOUND, outcomeOf(proof), failure, OptionalLong.empty());
  }

  Decision.Answer malformedKey(Optional<NotRunProof> proof) {
    Failure failure = local(Step.KEY_LOOKUP, "idempotency key needs a prefix and a unique part");
    return new Decision.Answer(BAD_REQUEST, outcomeOf(proof), failure, OptionalLong.empty());
  }

  /** Answers a request whose key is already known, with the state of the first request. */
  Decision.Answer knownKey(Outcome outcome, String detail, OptionalLong retryAfterMillis) {
    return new Decision.Answer(CONFLICT, outcome, local(Step.KEY_LOOKUP, detail), retryAfterMillis);
  }

  Decision.Answer keyTableFull(Optional<NotRunProof> proof, RequestContext context, long nowNanos) {
    Failure failure = local(Step.KEY_LOOKUP, "no room for another idempotency key");
    return withRetryAfter(proof, UNAVAILABLE, failure, context, nowNanos);
  }

  Decision.Answer notAdmitted(
      Optional<NotRunProof> proof, Verdict verdict, RequestContext context, long nowNanos) {
    int status = verdict == Verdict.LIMITED ? TOO_MANY_REQUESTS : UNAVAILABLE;
    return withRetryAfter(proof, status, local(Step.ADMIT, verdict.name()), context, nowNanos);
  }

  Decision.Answer expired(Optional<NotRunProof> proof, RequestContext context, long nowNanos) {
    Outcome outcome = proof.map(NotRunProof::outcomeAfterDeadline).orElse(Outcome.UNKNOWN);
    Step step = outcome == Outcome.UNKNOWN ? Step.AWAIT_RESPONSE : Step.ADMIT;
    Failure failure = local(step, "deadline passed");
    return new Decision.Answer(
        GATEWAY_TIMEOUT, outcome, failure, retryAfterMillis(context, nowNanos));
  }

  Decision.Answer withRetryAfter(
      Optional<NotRunProof> proof,
      int status,
      Failure failure,
      RequestContext context,
      long nowNanos) {
    return new Decision.Answer(
        status, outcomeOf(proof), failure, retryAfterMillis(context, nowNanos));
  }

  OptionalLong retryAfterMillis(RequestContext context, long nowNanos) {
    long retryAfterMillis =
        admission.retryAfterMillis(context.service(), context.requestClass(), nowNanos);
    return OptionalLong.of(Math.max(1, retryAfterMillis));
  }

  private static Failure local(Step step, String detail) {
    return new Failure(step, Failure.LOCAL, detail);
  }
}
