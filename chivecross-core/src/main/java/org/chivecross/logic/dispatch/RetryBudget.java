package org.chivecross.logic.dispatch;

/**
 * This entry's part of the budget for sending requests of one service more than once.
 *
 * <p>The budget bounds the sends beyond the first of each request within any window. The fixed part
 * is divided among the entries, the part in proportion to the traffic needs no division: each entry
 * counts its own requests. Not thread-safe.
 */
final class RetryBudget {

  /** Parts of a window that are counted on their own. */
  private static final int BUCKETS = 20;

  /** Part of the proportional budget that is used: all but one of the parts of a window. */
  private static final double USED_RATIO_FRACTION = 1 - 1.0 / BUCKETS;

  /** Part of the fixed repeats that is used; an entry that starts again uses its part again. */
  private static final double USED_FIXED_FRACTION = 0.45;

  private final double ratio;
  private final double fixed;
  private final long bucketNanos;
  private final int[] requests = new int[BUCKETS];
  private final int[] retries = new int[BUCKETS];
  private long currentBucket = Long.MIN_VALUE;

  /**
   * Creates an unused allowance.
   *
   * @param ratio repeats allowed for each request
   * @param fixed repeats allowed in each window without any request
   * @param windowNanos length of the window
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

  /**
   * Takes one repeat; false when the allowance is used up.
   *
   * @param part this entry's part of the fixed repeats, from 0 to 1
   */
  boolean tryTake(double part, long nowNanos) {
    advance(nowNanos);
    int requested = 0;
    int repeated = 0;
    for (int i = 0; i < BUCKETS; i++) {
      requested += requests[i];
      repeated += retries[i];
    }
    double allowed = USED_RATIO_FRACTION * ratio * requested + USED_FIXED_FRACTION * fixed * part;
    if (repeated + 1 > allowed) {
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
