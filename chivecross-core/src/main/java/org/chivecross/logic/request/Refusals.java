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
 * Builds the answers that the entry itself gives instead of relaying the answer of a target.
 *
 * <p>A {@link NotRunProof} shows that no target ran the request. An answer that is built from an
 * empty proof states {@link Outcome#UNKNOWN}; only {@link #knownKey} is given its outcome. All
 * fields are final, but the admission control that supplies the retry delay is mutable.
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

  /**
   * Returns the peer of a failure at a target. It contains the target's row; {@code
   * UpstreamClient.withAddress} in the entry's I/O layer parses it and puts the address in its
   * place if it is known.
   */
  String peerPlaceholder(int target) {
    return "target " + target;
  }

  /** Returns the outcome of a request that ends before the answer of a target is relayed. */
  Outcome outcomeOf(Optional<NotRunProof> proof) {
    return proof.map(NotRunProof::outcome).orElse(Outcome.UNKNOWN);
  }

  /**
   * Answers a request that no rule matches. The proof is empty if an earlier request with the same
   * key may have run.
   */
  Decision.Answer noRoute(Optional<NotRunProof> proof, RequestHead head) {
    Failure failure = local(Step.ROUTE, "no rule for " + head.method() + " " + head.path());
    return new Decision.Answer(NOT_FOUND, outcomeOf(proof), failure, OptionalLong.empty());
  }

  /**
   * Answers a request whose key has a wrong format. The key is checked before the first attempt, so
   * a proof is present.
   */
  Decision.Answer malformedKey(Optional<NotRunProof> proof) {
    Failure failure = local(Step.KEY_LOOKUP, "idempotency key needs a prefix and a unique part");
    return new Decision.Answer(BAD_REQUEST, outcomeOf(proof), failure, OptionalLong.empty());
  }

  /**
   * Answers a request that the state of its key keeps from running.
   *
   * @param outcome outcome of the first request with the key; unknown if that request is in flight
   *     or the window of the key has ended, not run if the key was cancelled
   * @param detail state of the key
   * @param retryAfterMillis delay after which the caller may retry, in ms; empty to name none
   */
  Decision.Answer knownKey(Outcome outcome, String detail, OptionalLong retryAfterMillis) {
    return new Decision.Answer(CONFLICT, outcome, local(Step.KEY_LOOKUP, detail), retryAfterMillis);
  }

  /** Answers a request whose key can't be recorded because the key table is full. */
  Decision.Answer keyTableFull(Optional<NotRunProof> proof, RequestContext context, long nowNanos) {
    Failure failure = local(Step.KEY_LOOKUP, "no room for another idempotency key");
    return withRetryAfter(proof, UNAVAILABLE, failure, context, nowNanos);
  }

  /** Answers a request that admission control refused: 429 for an exhausted limit, else 503. */
  Decision.Answer notAdmitted(
      Optional<NotRunProof> proof, Verdict verdict, RequestContext context, long nowNanos) {
    int status = verdict == Verdict.LIMITED ? TOO_MANY_REQUESTS : UNAVAILABLE;
    return withRetryAfter(proof, status, local(Step.ADMIT, verdict.name()), context, nowNanos);
  }

  /**
   * Answers a request whose deadline passed. With a proof, the outcome is {@link Outcome#EXPIRED}
   * only if nothing was sent. Without one, an attempt may have run, so the failed step is {@link
   * Step#AWAIT_RESPONSE}; otherwise it is {@link Step#ADMIT}, also if attempts were started.
   */
  Decision.Answer expired(Optional<NotRunProof> proof, RequestContext context, long nowNanos) {
    Outcome outcome = proof.map(NotRunProof::outcomeAfterDeadline).orElse(Outcome.UNKNOWN);
    Step step = outcome == Outcome.UNKNOWN ? Step.AWAIT_RESPONSE : Step.ADMIT;
    Failure failure = local(step, "deadline passed");
    return new Decision.Answer(
        GATEWAY_TIMEOUT, outcome, failure, retryAfterMillis(context, nowNanos));
  }

  /** Builds an answer with a retry delay, for a request that is refused or given up. */
  Decision.Answer withRetryAfter(
      Optional<NotRunProof> proof,
      int status,
      Failure failure,
      RequestContext context,
      long nowNanos) {
    return new Decision.Answer(
        status, outcomeOf(proof), failure, retryAfterMillis(context, nowNanos));
  }

  /** Returns the delay after which the caller may retry, in ms; at least 1. */
  OptionalLong retryAfterMillis(RequestContext context, long nowNanos) {
    long retryAfterMillis =
        admission.retryAfterMillis(context.service(), context.requestClass(), nowNanos);
    return OptionalLong.of(Math.max(1, retryAfterMillis));
  }

  private static Failure local(Step step, String detail) {
    return new Failure(step, Failure.LOCAL, detail);
  }
}
