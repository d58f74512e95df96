package org.chivecross.logic.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import org.chivecross.model.fleet.LimitShare;

/**
 * Entries that always have a request for one target and send it as soon as their share of its limit
 * allows. Not thread-safe.
 */
final class ShareUse {

  private static final long STEP_MILLIS = 5;

  private final long windowNanos;
  private final BiFunction<FleetNode, Long, Optional<LimitShare>> shares;
  private final Deque<Long> window = new ArrayDeque<>();
  private final Map<FleetNode, double[]> buckets = new HashMap<>();
  int most;
  int sent;

  /**
   * Creates entries that have sent nothing.
   *
   * @param shares returns the share of an entry at a time; empty if the target is not limited
   */
  ShareUse(long windowNanos, BiFunction<FleetNode, Long, Optional<LimitShare>> shares) {
    this.windowNanos = windowNanos;
    this.shares = shares;
  }

  /** Lets all entries send for some time and records the most requests in any window. */
  void send(GossipSimulation simulation, long millis) {
    for (long i = 0; i < millis; i += STEP_MILLIS) {
      simulation.runMillis(STEP_MILLIS);
      for (GossipSimulation.Entry entry : simulation.entries.values()) {
        if (entry.running) {
          sendFrom(entry.node, simulation.now);
        }
      }
    }
  }

  private void sendFrom(FleetNode node, long now) {
    Optional<LimitShare> share = shares.apply(node, now);
    if (share.isEmpty()) {
      return;
    }
    double[] tokens = buckets.computeIfAbsent(node, n -> new double[1]);
    double refill = share.get().requestsPerSecond() * STEP_MILLIS / 1_000;
    tokens[0] = Math.min(share.get().burst(), tokens[0] + refill);
    while (tokens[0] >= 1) {
      tokens[0]--;
      sent++;
      window.add(now);
    }
    while (!window.isEmpty() && now - window.peek() > windowNanos) {
      window.remove();
    }
    most = Math.max(most, window.size());
  }
}
