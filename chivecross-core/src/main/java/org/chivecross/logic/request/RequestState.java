package org.chivecross.logic.request;

/** State of a request from its arrival to its outcome. Immutable. */
sealed interface RequestState {

  /** The head is being read. */
  record Arriving() implements RequestState {}

  /**
   * Every slot is taken; nothing was sent.
   *
   * @param context the request
   * @param admitAgainAtNanos monotonic time of the next attempt to be admitted
   */
  record Queued(RequestContext context, long admitAgainAtNanos) implements RequestState {}

  /**
   * Admitted: attempts are in flight, or a retry is due. No byte of an answer was relayed.
   *
   * @param context the request
   * @param retryAtNanos monotonic time of the next retry, or {@link AttemptTable#NEVER}
   * @param hedgeAtNanos monotonic time of the hedged attempt, or {@link AttemptTable#NEVER}
   */
  record Sending(RequestContext context, long retryAtNanos, long hedgeAtNanos)
      implements RequestState {}

  /**
   * The answer of one attempt goes to the caller; all others are closed.
   *
   * @param context the request
   * @param attempt number of the attempt
   * @param status HTTP status of the answer
   * @param headNanos monotonic time at which its head was read
   */
  record Relaying(RequestContext context, int attempt, int status, long headNanos)
      implements RequestState {}

  /** The request has its one outcome, or went to the owner of its key. */
  record Done() implements RequestState {}
}
