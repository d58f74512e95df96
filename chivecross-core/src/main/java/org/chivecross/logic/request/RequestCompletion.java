package org.chivecross.logic.request;

import org.chivecross.model.request.Outcome;

/**
 * Releases what a request holds: its attempts, its admission and its idempotency key.
 *
 * <p>Invariants: an attempt is closed before its end is reported, and reported once; admission and
 * key are released by the single call of {@link #finish} or {@link #finishKey}. Not thread-safe.
 */
final class RequestCompletion {

  private static final int SERVER_ERROR = 500;

  private final RequestPolicies policies;
  private final AttemptTable attempts;

  RequestCompletion(RequestPolicies policies, AttemptTable attempts) {
    this.policies = policies;
    this.attempts = attempts;
  }

  /** Ends an attempt as failed. */
  void fail(int attempt, long nowNanos) {
    end(attempt, nowNanos - attempts.startedNanos(attempt), false, nowNanos);
  }

  /** Ends all open attempts as failed, since their targets did not answer in time. */
  void failAll(long nowNanos) {
    for (int i = 0; i < attempts.size(); i++) {
      if (attempts.isOpen(i)) {
        fail(i, nowNanos);
      }
    }
  }

  /** Closes all open attempts but one without counting them against their targets. */
  void abandonOthers(int kept, long nowNanos) {
    for (int i = 0; i < attempts.size(); i++) {
      if (i != kept && attempts.isOpen(i)) {
        abandon(i, nowNanos);
      }
    }
  }

  /** Closes an attempt without counting it against its target. */
  void abandon(int attempt, long nowNanos) {
    attempts.close(attempt);
    long elapsedNanos = nowNanos - attempts.startedNanos(attempt);
    policies.observer().attemptAbandoned(attempts.target(attempt), elapsedNanos, nowNanos);
  }

  /** Ends the attempt whose answer was relayed, and with it the request. */
  void finishRelaying(RequestState.Relaying relaying, boolean succeeded, long nowNanos) {
    int attempt = relaying.attempt();
    end(attempt, relaying.headNanos() - attempts.startedNanos(attempt), succeeded, nowNanos);
    // After an error answer it is unknown whether the request ran.
    Outcome outcome = relaying.status() < SERVER_ERROR ? Outcome.ANSWERED : Outcome.UNKNOWN;
    finish(relaying.context(), relaying.status(), outcome, nowNanos);
  }

  /** Ends an admitted request. */
  void finish(RequestContext context, int status, Outcome outcome, long nowNanos) {
    policies.admission().release(context.service(), context.requestClass(), nowNanos);
    finishKey(context, status, outcome, nowNanos);
  }

  /** Ends a request that was not admitted. */
  void finishKey(RequestContext context, int status, Outcome outcome, long nowNanos) {
    context.claimedKey().ifPresent(key -> policies.keys().finish(key, status, outcome, nowNanos));
  }

  private void end(int attempt, long latencyNanos, boolean succeeded, long nowNanos) {
    attempts.close(attempt);
    policies.observer().attemptEnded(attempts.target(attempt), latencyNanos, succeeded, nowNanos);
  }
}
