package org.chivecross.logic.dispatch;

/**
 * This entry's share of the retry budget of one service; hedged requests count as retries.
 *
 * <p>The budget bounds the retries within any window. Its fixed part is divided among the entries;
 * the part in proportion to the traffic needs no division, since each entry counts its own
 * requests. Not thread-safe.
 */
final class RetryBudget {

  /** Buckets into which a window is divided. */
  private static final int BUCKETS = 20;

  /** Fraction of the proportional budget that is used: all but one bucket of a window. */
  private static final double USED_RATIO_FRACTION = 1 - 1.0 / BUCKETS;

  /** Fraction of the fixed budget that is used; an entry that restarts uses its share again. */
  private static final double USED_FIXED_FRACTION = 0.45;

  private final double ratio;
  private final double fixed;
  private final long bucketNanos;
  private final int[] requests = new int[BUCKETS];
  private final int[] retries = new int[BUCKETS];
  private long currentBucket = Long.MIN_VALUE;

  /**
   * Creates an unused budget.
   *
   * @param ratio retries allowed for each request
   * @param fixed retries allowed in each window independently of the number of requests
   * @param windowNanos length of the window, in ns
   */
  RetryBudget(double ratio, double fixed, long windowNanos) {
    this.ratio = ratio;
    this.fixed = fixed;
    bucketNanos = Math.max(1, windowNanos / BUCKETS);
  }

  void recordRequest(long nowNanos) {
    advance(nowNanos);
    requests[index(currentBucket)]++;
  }

  /** Takes back a request that was recorded shortly before. */
  void forgetRequest(long nowNanos) {
    advance(nowNanos);
    requests[index(currentBucket)]--;
  }

  /**
   * Takes one retry; false when the budget is used up.
   *
   * @param share this entry's share of the fixed budget, from 0 to 1
   */
  boolean tryTake(double share, long nowNanos) {
    advance(nowNanos);
    int requestCount = 0;
    int retryCount = 0;
    for (int i = 0; i < BUCKETS; i++) {
      requestCount += requests[i];
      retryCount += retries[i];
    }
    double allowed =
        USED_RATIO_FRACTION * ratio * requestCount + USED_FIXED_FRACTION * fixed * share;
    if (retryCount + 1 > allowed) {
      return false;
    }
    retries[index(currentBucket)]++;
    return true;
  }

  private void advance(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    if (currentBucket == Long.MIN_VALUE) {
      currentBucket = bucket;
    }
    long first = Math.max(currentBucket + 1, bucket - BUCKETS + 1);
    for (long b = first; b <= bucket; b++) {
      requests[index(b)] = 0;
      retries[index(b)] = 0;
    }
    currentBucket = Math.max(currentBucket, bucket);
  }

  private static int index(long bucket) {
    return Math.floorMod(bucket, BUCKETS);
  }
}
