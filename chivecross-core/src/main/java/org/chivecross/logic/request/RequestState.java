package org.chivecross.logic.request;

/** State of a request from its arrival to its outcome. Immutable. */
sealed interface RequestState {

  /** The request has not arrived yet; its head is being read. */
  record Arriving() implements RequestState {}

  /**
   * All slots are taken; the request waits for admission and nothing was sent.
   *
   * @param context the request
   * @param admitAgainAtNanos monotonic time of the next admission check
   */
  record Queued(RequestContext context, long admitAgainAtNanos) implements RequestState {}

  /**
   * Admitted: attempts are in flight or a retry is scheduled. No byte of an answer was relayed.
   *
   * @param context the request
   * @param retryAtNanos monotonic time of the next retry, or {@link AttemptTable#NEVER}
   * @param hedgeAtNanos monotonic time of the hedged attempt, or {@link AttemptTable#NEVER}
   */
  record Sending(RequestContext context, long retryAtNanos, long hedgeAtNanos)
      implements RequestState {}

  /**
   * The answer of one attempt is being relayed to the caller; all other attempts are closed.
   *
   * @param context the request
   * @param attempt number of the attempt
   * @param status HTTP status of the answer
   * @param headNanos monotonic time at which the head of the answer was read
   */
  record Relaying(RequestContext context, int attempt, int status, long headNanos)
      implements RequestState {}

  /** The request has its outcome or was passed to the owner of its key. */
  record Done() implements RequestState {}
}
