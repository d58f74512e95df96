package org.chivecross.model.request;

import java.util.OptionalLong;
import org.chivecross.model.failure.Failure;

/** Action that the I/O layer must carry out next for one request. Immutable. */
public sealed interface Decision {

  /**
   * Send the request to a target. Other attempts continue.
   *
   * @param attempt number of the attempt, from 0
   * @param target row of the target
   * @param kind connection to use
   * @param deadlineNanos monotonic time after which no byte may be sent
   */
  record Send(int attempt, int target, ConnectionKind kind, long deadlineNanos)
      implements Decision {}

  /**
   * Relay the response of an attempt and cancel all other attempts.
   *
   * @param attempt number of the attempt
   */
  record Relay(int attempt) implements Decision {}

  /**
   * Wait for the next event, or until the timer expires.
   *
   * @param timerNanos monotonic time at which to call {@code RequestMachine.timer}
   */
  record Await(long timerNanos) implements Decision {}

  /**
   * Answer the caller and cancel all attempts.
   *
   * @param status HTTP status
   * @param outcome outcome of the request
   * @param failure step and peer of the cause
   * @param retryAfterMillis delay after which the caller may retry, in ms
   */
  record Answer(int status, Outcome outcome, Failure failure, OptionalLong retryAfterMillis)
      implements Decision {}

  /**
   * Abort the caller's connection, since a part of an answer was already relayed.
   *
   * @param failure step and peer of the cause
   */
  record Abort(Failure failure) implements Decision {}

  /**
   * Pass the request to the entry that owns its idempotency key.
   *
   * @param ownerIncarnation incarnation of the owner
   */
  record PassToOwner(long ownerIncarnation) implements Decision {}

  /** The request is finished; no action is left. */
  record Finish() implements Decision {}
}
