package org.chivecross.logic.request;

import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;

/**
 * Decides about one request, from its arrival to its outcome.
 *
 * <p>Not thread-safe: the shell calls all methods of one machine under one lock. Times are
 * monotonic nanoseconds. Every decision but {@link Decision.Await} and {@link Decision.Finish} is
 * to be carried out at once. After {@link Decision.Send}, the shell reports exactly one of {@link
 * #responseHead} or {@link #connectionFailed} for that attempt, or {@link #cancelled} for all.
 */
public interface RequestMachine {

  /** The head was read completely and passed the framing checks. */
  Decision arrived(RequestHead head, long nowNanos);

  /**
   * A byte of the attempt is about to be handed to the connection. From here on only the target can
   * prove that the request did not run.
   *
   * @return false when the attempt must not be sent any more: its time is used up, or it was
   *     cancelled by a later decision. The shell then drops it and calls {@link #timer}.
   */
  boolean sending(int attempt, long nowNanos);

  /** A body byte of the request was sent; the body can't be replayed. */
  void bodySent(long nowNanos);

  /** The head of a response was read. */
  Decision responseHead(int attempt, ResponseHead head, long nowNanos);

  /** The response was relayed to its end. */
  Decision responseEnd(int attempt, long nowNanos);

  /** The connection of an attempt failed. */
  Decision connectionFailed(int attempt, ConnectionFault fault, long nowNanos);

  /** A time that an earlier decision asked for has come, or a queue slot may be free. */
  Decision timer(long nowNanos);

  /** The caller went away or cancelled. */
  Decision cancelled(long nowNanos);

  /** Returns when {@link #timer} must be called, whatever else happens. */
  long nextTimerNanos();
}
