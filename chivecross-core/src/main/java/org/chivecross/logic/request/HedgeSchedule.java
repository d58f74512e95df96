package org.chivecross.logic.request;

import java.util.concurrent.TimeUnit;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.dispatch.PlacementTicket;
import org.chivecross.logic.dispatch.RequestForwarding;

/** Computes when a request without a response is also sent to another target. Stateless. */
final class HedgeSchedule {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** A read is hedged after this multiple of its expected response time. */
  private static final double EXPECTED_TIME_FACTOR = 1.8;

  /** A read is hedged after this fraction of the latency objective at the earliest. */
  private static final double MIN_OBJECTIVE_FRACTION = 0.5;

  private HedgeSchedule() {}

  /**
   * Returns when a request that is sent now is hedged; never if it must not run twice, or if
   * another entry gets it, which hedges it itself.
   */
  static long hedgeAtNanos(
      Dispatcher dispatcher, PlacementTicket ticket, int target, long nowNanos) {
    if (!ticket.route().isIdempotent() || RequestForwarding.isEntry(target)) {
      return AttemptTable.NEVER;
    }
    double delayMillis =
        Math.max(
            EXPECTED_TIME_FACTOR * dispatcher.expectedMillis(ticket, target, nowNanos),
            MIN_OBJECTIVE_FRACTION * ticket.route().latencyObjectiveMillis());
    return nowNanos + (long) (delayMillis * NANOS_PER_MILLI);
  }
}
