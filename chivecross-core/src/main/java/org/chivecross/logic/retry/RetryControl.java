package org.chivecross.logic.retry;

import org.chivecross.model.fileset.RequestClass;

/** Budgets of retries and hedged requests. Implementations are safe for use by many threads. */
public interface RetryControl {

  /** Returned by {@link #hedgeDelayNanos} when the request must not be hedged. */
  long NO_HEDGE = Long.MAX_VALUE;

  /** A request of the service succeeded; this earns a part of a retry. */
  void succeeded(int service, RequestClass requestClass, long nowNanos);

  /**
   * Takes a retry from the budget.
   *
   * @param depth nesting of the call; only the lowest layer retries
   * @return false when the budget is used up
   */
  boolean tryRetry(int service, RequestClass requestClass, int depth, long nowNanos);

  /**
   * Asks whether an error that a target answered may be retried at all; asked before {@link
   * #tryRetry}. Such an answer may stem from a call that the target made itself, and then a lower
   * layer has retried already.
   *
   * @param depth nesting of the call
   */
  default boolean mayRetryErrorAnswer(
      int service, RequestClass requestClass, int depth, long nowNanos) {
    return true;
  }

  /** Takes a hedged request from the budget; false when it is used up. */
  boolean tryHedge(int service, RequestClass requestClass, int depth, long nowNanos);

  /** Returns the jittered pause before a retry, in ns. */
  long backoffNanos(int retry);

  /** Returns the wait for a first byte after which a read is hedged, or {@link #NO_HEDGE}. */
  long hedgeDelayNanos(int service, RequestClass requestClass);

  /** Returns the wait for a first byte after which a connection counts as silent, in ns. */
  long firstByteTimeoutNanos(int target, RequestClass requestClass);
}
