package org.chivecross.logic.key;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.membership.MemberView;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.MemberState;

/**
 * Issues key prefixes on behalf of other entries, so that the directory can direct a caller to an
 * entry and give it keys of that entry.
 *
 * <p>A prefix contains the uptime of its owner at the time of issue. That uptime is estimated from
 * the sequence numbers that the owner advertises and from the local clock. The estimate is a lower
 * bound: sequence numbers arrive late, and the local clock is assumed to run fast by {@link
 * #MAX_CLOCK_DRIFT_FRACTION}.
 *
 * <p>Invariant: the estimate for an owner never exceeds its uptime. Safe for use by many threads.
 */
public final class PeerKeyPrefixes {

  /** Maximum drift between two monotonic clocks, as a fraction of the elapsed time. */
  private static final double MAX_CLOCK_DRIFT_FRACTION = 0.001;

  /** Sequence numbers exceed the uptime by at most the number of updates made in one tick. */
  private static final long SEQUENCE_MARGIN_MILLIS = 100;

  private volatile Map<Long, UptimeEstimate> estimatesByIncarnation = Map.of();
  private volatile Optional<MemberView> observedView = Optional.empty();

  /**
   * Lower bound of an entry's uptime at one point in time.
   *
   * @param uptimeMillis lower bound of the uptime at that time, in ms
   * @param estimatedAtNanos local monotonic time of the estimate
   */
  private record UptimeEstimate(long uptimeMillis, long estimatedAtNanos) {

    long uptimeMillis(long nowNanos) {
      long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - estimatedAtNanos);
      return uptimeMillis + (long) (elapsedMillis * (1 - MAX_CLOCK_DRIFT_FRACTION));
    }

    long maxErrorMillis(long nowNanos) {
      return (long)
          (TimeUnit.NANOSECONDS.toMillis(nowNanos - estimatedAtNanos) * MAX_CLOCK_DRIFT_FRACTION);
    }
  }

  /** Creates an issuer without known owners. */
  public PeerKeyPrefixes() {}

  /** Updates the estimates from a member view; called by one thread on each tick. */
  public void observe(MemberView view, long nowNanos) {
    if (observedView.isPresent() && observedView.get() == view) {
      return;
    }
    Map<Long, UptimeEstimate> next = new HashMap<>();
    for (EntryMember member : view.others()) {
      if (member.state() == MemberState.DEAD) {
        continue;
      }
      UptimeEstimate latest =
          new UptimeEstimate(member.sequence() - SEQUENCE_MARGIN_MILLIS, nowNanos);
      UptimeEstimate known = estimatesByIncarnation.getOrDefault(member.incarnation(), latest);
      boolean isCloser = latest.uptimeMillis() > known.uptimeMillis(nowNanos);
      next.put(member.incarnation(), isCloser ? latest : known);
    }
    estimatesByIncarnation = Map.copyOf(next);
    observedView = Optional.of(view);
  }

  /**
   * Returns a prefix that the owner accepts.
   *
   * @param windowMillis time after the issue for which the owner keeps a record, in ms
   * @return empty if the owner is unknown or the estimate of its uptime is too imprecise
   */
  public Optional<String> prefix(long incarnation, long windowMillis, long nowNanos) {
    UptimeEstimate estimate = estimatesByIncarnation.get(incarnation);
    if (estimate == null) {
      return Optional.empty();
    }
    long issued = estimate.uptimeMillis(nowNanos);
    if (issued < 0 || estimate.maxErrorMillis(nowNanos) > windowMillis / 4) {
      return Optional.empty();
    }
    return Optional.of(KeyPrefixIssuer.format(incarnation, issued, windowMillis));
  }
}
