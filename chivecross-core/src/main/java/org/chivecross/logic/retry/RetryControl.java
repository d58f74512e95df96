package org.chivecross.logic.retry;

import org.chivecross.model.fileset.RequestClass;

/**
 * Decides about retries and hedged requests within their budgets. Implementations are thread-safe.
 */
public interface RetryControl {

  /** Value of {@link #hedgeDelayNanos} when the request must not be hedged. */
  long NO_HEDGE = Long.MAX_VALUE;

  /**
   * Records a successful request of the service, which adds a fraction of a retry to the budget.
   */
  void succeeded(int service, RequestClass requestClass, long nowNanos);

  /**
   * Takes a retry from the budget.
   *
   * @param depth nesting depth of the call; only the lowest layer retries
   * @return false when the budget is used up
   */
  boolean tryRetry(int service, RequestClass requestClass, int depth, long nowNanos);

  /**
   * Returns whether an error answer of a target may be retried at all; called before {@link
   * #tryRetry}. The error may come from a call that the target made itself, which a lower layer has
   * already retried.
   *
   * @param depth nesting depth of the call
   */
  default boolean mayRetryErrorAnswer(
      int service, RequestClass requestClass, int depth, long nowNanos) {
    return true;
  }

  /** Takes a hedged request from the budget; false when it is used up. */
  boolean tryHedge(int service, RequestClass requestClass, int depth, long nowNanos);

  /** Returns the backoff before a retry with jitter, in ns. */
  long backoffNanos(int retry);

  /**
   * Returns the delay after which a read without an answer is hedged, in ns, or {@link #NO_HEDGE}.
   */
  long hedgeDelayNanos(int service, RequestClass requestClass);

  /** Returns the first-byte timeout after which a connection counts as silent, in ns. */
  long firstByteTimeoutNanos(int target, RequestClass requestClass);
}
