package org.chivecross.logic.fleet;

import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.StoreVersion;

/**
 * The last outage of the store, in which registrations of live targets may have expired, as far as
 * one entry can tell it from a gap of its own.
 *
 * <p>Invariant: a registration is retained for a time that is counted from the end of the outage,
 * never from its own removal, so one that is removed later is not retained for longer. Not
 * thread-safe.
 */
final class StoreOutage {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /**
   * Time after an outage for which registrations that expired in it are retained. A target that is
   * alive registers again within 2 s; the rest is for the read that returns it.
   */
  private static final long RETENTION_NANOS = 2_300 * NANOS_PER_MILLI;

  /** Gap between two reads that may be an outage; the last in rank reads well before that. */
  private static final long THRESHOLD_NANOS = 1_600 * NANOS_PER_MILLI;

  /**
   * Time after an unanswered read by which the outage is assumed to have ended. The next read may
   * follow later than that, and what was removed in the meantime must not be in use when this entry
   * counts as in touch with the store again.
   */
  private static final long MAX_UNNOTICED_NANOS = 500 * NANOS_PER_MILLI;

  private long unansweredReadNanos = Long.MIN_VALUE / 2;
  private long endNanos = Long.MIN_VALUE / 2;

  /** Records that a read of the store had no answer, or has had none for some time. */
  void readUnanswered(long sentNanos) {
    unansweredReadNanos = Math.max(unansweredReadNanos, sentNanos);
  }

  /**
   * Records that this entry has read the store.
   *
   * @param before version of the last view
   * @param beforeNanos time as of which the last view reflects the store
   * @param now version that was read
   * @param sentNanos time at which the read was sent
   */
  void readAnswered(StoreVersion before, long beforeNanos, StoreVersion now, long sentNanos) {
    long gapEndNanos = Math.min(sentNanos, unansweredReadNanos + MAX_UNNOTICED_NANOS);
    gapEnded(before, beforeNanos, now, sentNanos, gapEndNanos);
  }

  /** Records that another entry has read the store; see {@link #readAnswered}. */
  void readByAnother(StoreVersion before, long beforeNanos, StoreVersion now, long asOfNanos) {
    gapEnded(before, beforeNanos, now, asOfNanos, asOfNanos);
  }

  /**
   * Notes an outage if there was one. A new era begins with a copy of the store that lacks the
   * latest registrations. A gap in which no read of this entry was unanswered is its own: the store
   * went on, and what it removed has left.
   */
  private void gapEnded(
      StoreVersion before, long beforeNanos, StoreVersion now, long asOfNanos, long gapEndNanos) {
    if (now.era() > before.era()) {
      endNanos = asOfNanos;
    } else if (asOfNanos - beforeNanos > THRESHOLD_NANOS && unansweredReadNanos > beforeNanos) {
      endNanos = gapEndNanos;
    }
  }

  /** Returns the time until which registrations are retained that the store has removed. */
  long retainedUntilNanos() {
    return endNanos + RETENTION_NANOS;
  }
}
