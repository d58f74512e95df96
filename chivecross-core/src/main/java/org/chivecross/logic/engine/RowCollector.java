package org.chivecross.logic.engine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.function.IntUnaryOperator;

/**
 * Releases the rows of names that were removed from the file set, once nothing is in flight on them
 * and {@link #RELEASE_DELAY_NANOS} have passed. The delay ensures that a request that still holds a
 * row never finds another target in it.
 *
 * <p>Not thread-safe: the engine calls it from one thread at a time.
 */
final class RowCollector {

  /** Minimum time from the removal from the file set to the release of the row, in ns. */
  static final long RELEASE_DELAY_NANOS = 60_000_000_000L;

  private final IntUnaryOperator inFlight;
  private final IntConsumer release;
  private final Map<Integer, Long> unusedSince = new HashMap<>();

  /**
   * Creates a collector for one table.
   *
   * @param inFlight returns the number of requests or attempts in flight on a row
   * @param release releases a row
   */
  RowCollector(IntUnaryOperator inFlight, IntConsumer release) {
    this.inFlight = inFlight;
    this.release = release;
  }

  /** Marks the live rows that the new file set does not use; rows that it uses lose their mark. */
  void markUnused(int[] liveRows, Collection<Integer> used, long nowNanos) {
    Set<Integer> kept = new HashSet<>(used);
    for (int row : liveRows) {
      if (kept.contains(row)) {
        unusedSince.remove(row);
      } else {
        unusedSince.putIfAbsent(row, nowNanos);
      }
    }
  }

  /** Releases the unused rows whose delay has passed and that are idle. */
  void collect(long nowNanos) {
    if (unusedSince.isEmpty()) {
      return;
    }
    unusedSince
        .entrySet()
        .removeIf(
            unused -> {
              boolean isDelayOver = nowNanos - unused.getValue() >= RELEASE_DELAY_NANOS;
              if (!isDelayOver || inFlight.applyAsInt(unused.getKey()) > 0) {
                return false;
              }
              release.accept(unused.getKey());
              return true;
            });
  }
}
