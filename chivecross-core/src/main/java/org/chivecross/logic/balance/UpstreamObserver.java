package org.chivecross.logic.balance;

import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.LoadReport;

/**
 * Receives the observations of the request path about targets. Implementations are safe for use by
 * many threads; times are monotonic nanoseconds.
 */
public interface UpstreamObserver {

  /** An attempt was started on a target. */
  void attemptStarted(int target, long nowNanos);

  /**
   * An attempt ended.
   *
   * @param target row of the target
   * @param latencyNanos time from the start of the attempt to its response head
   * @param succeeded whether the target served it; an error answer that comes fast is not a success
   * @param nowNanos monotonic time
   */
  void attemptEnded(int target, long latencyNanos, boolean succeeded, long nowNanos);

  /**
   * An attempt was abandoned for a reason unrelated to the target: another attempt won, or the
   * caller disconnected. For each started attempt exactly one of {@link #attemptEnded} and this
   * method is called.
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

  /** A target announced that it is leaving. */
  void leavingReported(int target, long nowNanos);
}
