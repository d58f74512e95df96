package org.chivecross.logic.retry;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.IntUnaryOperator;
import org.chivecross.logic.balance.SharedRandom;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.RequestClass;
import org.jspecify.annotations.Nullable;

/**
 * Token buckets of retries and hedged requests for each service and class, filled by successful
 * requests.
 *
 * <p>Invariant: over any period, the number of retries stays below {@link #RETRY_BUCKET} plus the
 * configured fraction of the successes, and that of hedged requests below {@link #HEDGE_BUCKET}
 * plus their fraction. Failures add no tokens, so retries can't amplify an overload. Only external
 * calls are hedged, since hedged requests at each of many layers would multiply. Thread-safe.
 */
public final class BudgetedRetryControl implements RetryControl {

  /** Capacity of the retry bucket of a service and class, in retries. */
  public static final int RETRY_BUCKET = 10;

  /** Capacity of the hedge bucket of a service and class, in hedged requests. */
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
   * Creates a retry control.
   *
   * @param services maximum number of service rows
   * @param serviceOfTarget returns the row of the service of a target
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
    long maxNanos =
        Math.min(MAX_BACKOFF_NANOS, INITIAL_BACKOFF_NANOS << Math.min(retry, MAX_DOUBLINGS));
    return (long) (random.nextDouble(retry) * maxNanos);
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
    long available = tokens.get(cell);
    while (available < bucket * UNITS_PER_TOKEN) {
      if (tokens.compareAndSet(
          cell, available, Math.min(bucket * UNITS_PER_TOKEN, available + earned))) {
        return;
      }
      available = tokens.get(cell);
    }
  }

  private static boolean tryTake(AtomicLongArray tokens, int cell) {
    long available = tokens.get(cell);
    while (available >= UNITS_PER_TOKEN) {
      if (tokens.compareAndSet(cell, available, available - UNITS_PER_TOKEN)) {
        return true;
      }
      available = tokens.get(cell);
    }
    return false;
  }
}
