package org.chivecross.logic.limit;

import org.chivecross.model.fileset.RequestClass;

/** Decides whether a request may start. Implementations are safe for use by many threads. */
public interface AdmissionControl {

  /** Answer of an admission. */
  enum Verdict {
    /** The request may start; {@link #release} must be called once when it is over. */
    ADMITTED,
    /** Every slot is taken; ask again when woken, until the deadline. */
    QUEUED,
    /** A rate or concurrency limit of the tenant or service is exhausted. */
    LIMITED,
    /** The request can't be answered before its deadline. */
    TOO_LATE,
    /** The class is shed to keep the others within their latency. */
    SHED
  }

  /**
   * Asks for admission.
   *
   * @param service row of the service
   * @param requestClass class of the request
   * @param deadlineNanos monotonic time by which the caller needs the answer
   * @param nowNanos monotonic time
   */
  Verdict admit(int service, RequestClass requestClass, long deadlineNanos, long nowNanos);

  /** Gives back what {@link Verdict#ADMITTED} took. */
  void release(int service, RequestClass requestClass, long nowNanos);

  /** Returns when a refused caller may ask again, in ms from now; at least 1. */
  long retryAfterMillis(int service, RequestClass requestClass, long nowNanos);
}
