package org.chivecross.logic.key;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.membership.MemberView;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.MemberState;

/**
 * Prefixes of keys that other entries own, so that the directory can send a caller to an entry
 * together with keys of that entry.
 *
 * <p>A prefix states for how long its owner had been up when it was issued. Here that time is
 * estimated from the owner's claims and from the local clock, and never above the truth: claims
 * arrive late, and the local clock is taken to run fast by {@link #CLOCK_DRIFT}.
 *
 * <p>Invariant: the estimate for an owner never exceeds its uptime. Safe for use by many threads.
 */
public final class PeerKeyPrefixes {

  /** Most by which two monotonic clocks drift apart, as a fraction of the time that passed. */
  private static final double CLOCK_DRIFT = 0.001;

  /** Sequences may run ahead of the uptime by the number of claims made within one tick. */
  private static final long SEQUENCE_MARGIN_MILLIS = 100;

  private volatile Map<Long, Anchor> anchors = Map.of();
  private volatile Optional<MemberView> observed = Optional.empty();

  /**
   * Uptime of an entry at a moment.
   *
   * @param uptimeMillis least uptime then, in ms
   * @param nanos local monotonic time of the moment
   */
  private record Anchor(long uptimeMillis, long nanos) {

    long uptimeMillis(long nowNanos) {
      long passed = TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos);
      return uptimeMillis + (long) (passed * (1 - CLOCK_DRIFT));
    }

    long lagMillis(long nowNanos) {
      return (long) (TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos) * CLOCK_DRIFT);
    }
  }

  /** Creates prefixes for nobody yet. */
  public PeerKeyPrefixes() {}

  /** Takes in the claims of a view; called by one thread each tick. */
  public void observe(MemberView view, long nowNanos) {
    if (observed.isPresent() && observed.get() == view) {
      return;
    }
    Map<Long, Anchor> next = new HashMap<>();
    for (EntryMember member : view.others()) {
      if (member.state() == MemberState.DEAD) {
        continue;
      }
      Anchor claimed = new Anchor(member.sequence() - SEQUENCE_MARGIN_MILLIS, nowNanos);
      Anchor known = anchors.getOrDefault(member.incarnation(), claimed);
      boolean better = claimed.uptimeMillis() > known.uptimeMillis(nowNanos);
      next.put(member.incarnation(), better ? claimed : known);
    }
    anchors = Map.copyOf(next);
    observed = Optional.of(view);
  }

  /**
   * Returns a prefix that the owner accepts.
   *
   * @param windowMillis time from the issue for which the owner answers, in ms
   * @return empty when the owner is unknown or its uptime is known too roughly
   */
  public Optional<String> prefix(long incarnation, long windowMillis, long nowNanos) {
    Anchor anchor = anchors.get(incarnation);
    if (anchor == null) {
      return Optional.empty();
    }
    long issued = anchor.uptimeMillis(nowNanos);
    if (issued < 0 || anchor.lagMillis(nowNanos) > windowMillis / 4) {
      return Optional.empty();
    }
    return Optional.of(KeyPrefixIssuer.format(incarnation, issued, windowMillis));
  }
}
