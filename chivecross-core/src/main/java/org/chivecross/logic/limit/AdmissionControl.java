package org.chivecross.logic.limit;

import org.chivecross.model.fileset.RequestClass;

/** Admission control of requests. Implementations are thread-safe. */
public interface AdmissionControl {

  /** Result of an admission check. */
  enum Verdict {
    /** The request may start; {@link #release} must be called once when it has ended. */
    ADMITTED,
    /** All slots are taken; check again when a slot may be free, until the deadline. */
    QUEUED,
    /** A rate or concurrency limit of the tenant or service is exhausted. */
    LIMITED,
    /** The request can't be answered before its deadline. */
    TOO_LATE,
    /** Requests of the class are shed to keep the latency of the other classes. */
    SHED
  }

  /**
   * Checks whether a request may start.
   *
   * @param service row of the service
   * @param requestClass class of the request
   * @param deadlineNanos monotonic time by which the caller needs the answer
   * @param nowNanos monotonic time
   */
  Verdict admit(int service, RequestClass requestClass, long deadlineNanos, long nowNanos);

  /** Releases an admission that was granted with {@link Verdict#ADMITTED}. */
  void release(int service, RequestClass requestClass, long nowNanos);

  /** Returns the delay after which a refused caller may retry, in ms; at least 1. */
  long retryAfterMillis(int service, RequestClass requestClass, long nowNanos);
}
