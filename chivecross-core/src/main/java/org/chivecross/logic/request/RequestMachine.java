package org.chivecross.logic.request;

import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;

/**
 * State machine that makes all decisions about one request, from its arrival to its outcome. The
 * I/O layer reports events to it and carries out its decisions.
 *
 * <p>Not thread-safe: the I/O layer calls all methods of one machine under one lock. Times are
 * monotonic nanoseconds. Every decision except {@link Decision.Await} and {@link Decision.Finish}
 * must be carried out at once. After {@link Decision.Send}, the I/O layer reports exactly one of
 * {@link #responseHead} or {@link #connectionFailed} for that attempt, or {@link #cancelled} for
 * all attempts.
 */
public interface RequestMachine {

  /** The head of the request was read completely and passed the framing checks. */
  Decision arrived(RequestHead head, long nowNanos);

  /**
   * The first bytes of the attempt are about to be written to the connection. From then on only the
   * target can prove that the request did not run.
   *
   * @return false when the attempt must not be sent: its deadline has passed, or a later decision
   *     cancelled it. The I/O layer then drops the attempt and calls {@link #timer}.
   */
  boolean sending(int attempt, long nowNanos);

  /** A byte of the request body was sent; the body can't be sent again. */
  void bodySent(long nowNanos);

  /** The head of a response was read. */
  Decision responseHead(int attempt, ResponseHead head, long nowNanos);

  /**
   * A response that is not relayed announced something about its target, such as its shutdown. The
   * announcements of other responses are part of {@link #responseHead}.
   */
  default void announced(int attempt, ResponseHead head, long nowNanos) {}

  /** The response was relayed completely. */
  Decision responseEnd(int attempt, long nowNanos);

  /** The connection of an attempt failed. */
  Decision connectionFailed(int attempt, ConnectionFault fault, long nowNanos);

  /** The timer has expired, or a queue slot may be free. */
  Decision timer(long nowNanos);

  /** The caller disconnected or cancelled the request. */
  Decision cancelled(long nowNanos);

  /** Returns the time at which {@link #timer} must be called, whatever else happens. */
  long nextTimerNanos();
}
