package org.chivecross.logic.dispatch;

import java.util.BitSet;
import java.util.concurrent.TimeUnit;

/**
 * Judges from the ends of probes and attempts whether this entry reaches any target.
 *
 * <p>The entry counts as isolated once several targets failed without a response and none responded
 * meanwhile; the failure of single targets is no evidence about the entry itself. It stays isolated
 * until several targets have responded, of which each failure takes one back. After that, requests
 * return to the targets gradually, since the first responses don't show that all targets can be
 * reached. Not thread-safe.
 */
final class UpstreamReachability {

  /** Targets whose results are needed for a change, if there are so many. */
  private static final int MIN_TARGETS = 3;

  /** Minimum time without a response from any target before the entry counts as isolated. */
  private static final long MIN_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time over which the requests return to the targets. */
  private static final long RETURN_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final BitSet unreached = new BitSet();
  private final BitSet responded = new BitSet();
  private boolean isolated;
  private long lastResponseNanos = Long.MIN_VALUE / 2;
  private long returningSinceNanos = Long.MIN_VALUE / 2;

  boolean isIsolated() {
    return isolated;
  }

  /** Returns the fraction of requests that are placed on targets, from 0 to 1. */
  double placedFraction(long nowNanos) {
    return isolated ? 0 : Math.min(1.0, (nowNanos - returningSinceNanos) / (double) RETURN_NANOS);
  }

  /**
   * Records a response of a target.
   *
   * @param targets number of targets that could be reached
   * @return whether the entry is no longer isolated because of it
   */
  boolean recordResponse(int row, int targets, long nowNanos) {
    lastResponseNanos = nowNanos;
    unreached.clear();
    if (!isolated) {
      return false;
    }
    responded.set(row);
    if (responded.cardinality() < Math.min(MIN_TARGETS, targets / 2 + 1)) {
      return false;
    }
    isolated = false;
    responded.clear();
    returningSinceNanos = nowNanos;
    return true;
  }

  /**
   * Records that a target could not be connected, or sent nothing in time or before the connection
   * ended.
   *
   * @param targets number of targets that could be reached
   * @return whether the entry is isolated because of it and was not before
   */
  boolean recordFailure(int row, int targets, long nowNanos) {
    if (isolated) {
      responded.clear(row);
      responded.clear(Math.max(0, responded.length() - 1));
      return false;
    }
    unreached.set(row);
    isolated =
        unreached.cardinality() >= Math.min(MIN_TARGETS, targets)
            && nowNanos - lastResponseNanos >= MIN_SILENCE_NANOS;
    return isolated;
  }
}
