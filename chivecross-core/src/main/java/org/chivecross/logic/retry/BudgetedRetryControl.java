package org.chivecross.logic.retry;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.IntUnaryOperator;
import org.chivecross.logic.balance.SharedRandom;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.RequestClass;
import org.jspecify.annotations.Nullable;

/**
 * Budgets of retries and hedged requests for each service and class, earned by successes.
 *
 * <p>Invariant: over any time, retries stay below {@link #RETRY_BUCKET} plus the configured
 * fraction of the successes, and hedged requests below {@link #HEDGE_BUCKET} plus theirs. Failures
 * earn nothing, so an overload can't feed itself. Only calls from outside are hedged: a hedge at
 * each of many layers would multiply. Safe for use by many threads.
 */
public final class BudgetedRetryControl implements RetryControl {

  /** Retries that a quiet service may hold. */
  public static final int RETRY_BUCKET = 10;

  /** Hedged requests that a quiet service may hold. */
  public static final int HEDGE_BUCKET = 10;

  private static final int CLASSES = RequestClass.values().length;
  private static final long UNITS_PER_TOKEN = 1_000_000;
  private static final long INITIAL_BACKOFF_NANOS = 2_000_000;
  private static final long MAX_BACKOFF_NANOS = 50_000_000;
  private static final int MAX_DOUBLINGS = 10;
  private static final int EXTERNAL_CALL_DEPTH = 0;

  private final SharedRandom random;
  private final LatencySystem latencies;
  private final IntUnaryOperator serviceOfTarget;
  private final AtomicLongArray retryTokens;
  private final AtomicLongArray hedgeTokens;
  private volatile @Nullable ClassPolicy[] policies;

  /**
   * Creates a control for at most {@code services} rows.
   *
   * @param serviceOfTarget finds the row of the service of a target
   */
  public BudgetedRetryControl(
      int services,
      SharedRandom random,
      LatencySystem latencies,
      IntUnaryOperator serviceOfTarget) {
    this.random = random;
    this.latencies = latencies;
    this.serviceOfTarget = serviceOfTarget;
    retryTokens = new AtomicLongArray(services * CLASSES);
    hedgeTokens = new AtomicLongArray(services * CLASSES);
    policies = new ClassPolicy[services * CLASSES];
  }

  /** Replaces the policies; {@link #cell} is the index. */
  public void apply(@Nullable ClassPolicy[] newPolicies) {
    policies = Arrays.copyOf(newPolicies, newPolicies.length);
  }

  @Override
  public void succeeded(int service, RequestClass requestClass, long nowNanos) {
    int cell = cell(service, requestClass);
    ClassPolicy policy = policies[cell];
    if (policy == null) {
      return;
    }
    addTokens(retryTokens, cell, policy.retryFraction(), RETRY_BUCKET);
    addTokens(hedgeTokens, cell, policy.hedgeFraction(), HEDGE_BUCKET);
  }

  @Override
  public boolean tryRetry(int service, RequestClass requestClass, int depth, long nowNanos) {
    return tryTake(retryTokens, cell(service, requestClass));
  }

  @Override
  public boolean mayRetryErrorAnswer(
      int service, RequestClass requestClass, int depth, long nowNanos) {
    return depth == EXTERNAL_CALL_DEPTH;
  }

  @Override
  public boolean tryHedge(int service, RequestClass requestClass, int depth, long nowNanos) {
    return depth == EXTERNAL_CALL_DEPTH && tryTake(hedgeTokens, cell(service, requestClass));
  }

  @Override
  public long backoffNanos(int retry) {
    long most = Math.min(MAX_BACKOFF_NANOS, INITIAL_BACKOFF_NANOS << Math.min(retry, MAX_DOUBLINGS));
    return (long) (random.nextDouble(retry) * most);
  }

  @Override
  public long hedgeDelayNanos(int service, RequestClass requestClass) {
    return requestClass == RequestClass.READ ? latencies.hedgeDelayNanos(service) : NO_HEDGE;
  }

  @Override
  public long firstByteTimeoutNanos(int target, RequestClass requestClass) {
    return latencies.firstByteTimeoutNanos(serviceOfTarget.applyAsInt(target));
  }

  /** Returns the index of a service and class in a table of policies. */
  public static int cell(int service, RequestClass requestClass) {
    return service * CLASSES + requestClass.ordinal();
  }

  private static void addTokens(AtomicLongArray tokens, int cell, double fraction, int bucket) {
    long earned = (long) (fraction * UNITS_PER_TOKEN);
    if (earned == 0) {
      return;
    }
    long held = tokens.get(cell);
    while (held < bucket * UNITS_PER_TOKEN) {
      if (tokens.compareAndSet(cell, held, Math.min(bucket * UNITS_PER_TOKEN, held + earned))) {
        return;
      }
      held = tokens.get(cell);
    }
  }

  private static boolean tryTake(AtomicLongArray tokens, int cell) {
    long held = tokens.get(cell);
    while (held >= UNITS_PER_TOKEN) {
      if (tokens.compareAndSet(cell, held, held - UNITS_PER_TOKEN)) {
        return true;
      }
      held = tokens.get(cell);
    }
    return false;
  }
}
