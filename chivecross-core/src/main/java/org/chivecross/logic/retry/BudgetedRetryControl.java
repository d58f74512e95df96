package org.chivecross.logic.retry;

import java.util.concurrent.atomic.AtomicLongArray;
import org.chivecross.logic.balance.SharedRandom;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.RequestClass;
import org.jspecify.annotations.Nullable;

/**
 * Budgets of retries for each service and class, earned by successes.
 *
 * <p>Invariant: over any time, retries stay below {@link #BUCKET_TOKENS} plus the configured
 * fraction of the successes. Failures earn nothing, so an overload can't feed itself. Safe for use
 * by many threads.
 */
public final class BudgetedRetryControl implements RetryControl {

  /** Retries that a quiet service may hold. */
  public static final int BUCKET_TOKENS = 10;

  private static final int CLASSES = RequestClass.values().length;
  private static final long TOKEN = 1_000_000;
  private static final long FIRST_BACKOFF_NANOS = 2_000_000;
  private static final long MAX_BACKOFF_NANOS = 50_000_000;
  private static final long SILENCE_NANOS = 1_000_000_000;

  private final SharedRandom random;
  private final AtomicLongArray tokens;
  private volatile @Nullable ClassPolicy[] policies;

  /** Creates a control for at most {@code services} rows. */
  public BudgetedRetryControl(int services, SharedRandom random) {
    this.random = random;
    tokens = new AtomicLongArray(services * CLASSES);
    policies = new ClassPolicy[services * CLASSES];
  }

  /** Replaces the policies; an index is the service row times the classes plus the class. */
  public void apply(@Nullable ClassPolicy[] newPolicies) {
    policies = newPolicies.clone();
  }

  @Override
  public void succeeded(int service, RequestClass requestClass, long nowNanos) {
    int cell = cell(service, requestClass);
    ClassPolicy policy = policies[cell];
    if (policy == null) {
      return;
    }
    long earned = (long) (policy.retryFraction() * TOKEN);
    long held = tokens.get(cell);
    if (held < BUCKET_TOKENS * TOKEN) {
      tokens.addAndGet(cell, earned);
    }
  }

  @Override
  public boolean tryRetry(int service, RequestClass requestClass, int depth, long nowNanos) {
    return take(cell(service, requestClass));
  }

  @Override
  public boolean tryHedge(int service, RequestClass requestClass, int depth, long nowNanos) {
    return false;
  }

  @Override
  public long backoffNanos(int retry) {
    long most = Math.min(MAX_BACKOFF_NANOS, FIRST_BACKOFF_NANOS << Math.min(retry, 10));
    return (long) (random.nextDouble(retry) * most);
  }

  @Override
  public long hedgeDelayNanos(int service, RequestClass requestClass) {
    return NO_HEDGE;
  }

  @Override
  public long silenceNanos(int target, RequestClass requestClass) {
    return SILENCE_NANOS;
  }

  private boolean take(int cell) {
    long held = tokens.get(cell);
    while (held >= TOKEN) {
      if (tokens.compareAndSet(cell, held, held - TOKEN)) {
        return true;
      }
      held = tokens.get(cell);
    }
    return false;
  }

  /** Returns the index of a service and class in a table of policies. */
  public static int cell(int service, RequestClass requestClass) {
    return service * CLASSES + requestClass.ordinal();
  }
}
