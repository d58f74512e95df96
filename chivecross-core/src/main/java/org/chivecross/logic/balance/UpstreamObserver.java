package org.chivecross.logic.balance;

import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.LoadReport;

/**
 * Learns from what the request path sees of targets. Implementations are safe for use by many
 * threads; times are monotonic nanoseconds.
 */
public interface UpstreamObserver {

  /** An attempt was given to a target. */
  void attemptStarted(int target, long nowNanos);

  /**
   * An attempt ended.
   *
   * @param target row of the target
   * @param latencyNanos time from the start of the attempt to its response head
   * @param succeeded whether the target served it; a fast failure is not a success
   * @param nowNanos monotonic time
   */
  void attemptEnded(int target, long latencyNanos, boolean succeeded, long nowNanos);

  /**
   * An attempt ended without the target's doing: another attempt won, or the caller went away. Each
   * started attempt is ended or abandoned once.
   *
   * @param target row of the target
   * @param waitedNanos time from the start of the attempt
   * @param nowNanos monotonic time
   */
  default void attemptAbandoned(int target, long waitedNanos, long nowNanos) {
    attemptEnded(target, waitedNanos, false, nowNanos);
  }

  /** An attempt lost its connection; {@link #attemptEnded} is called as well. */
  void connectionFailed(int target, ConnectionFault fault, long nowNanos);

  /** A target reported its own load. */
  void loadReported(int target, LoadReport report, long nowNanos);

  /** A target said that it is leaving. */
  void leavingReported(int target, long nowNanos);
}
