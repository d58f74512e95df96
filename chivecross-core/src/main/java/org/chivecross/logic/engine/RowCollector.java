package org.chivecross.logic.engine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.function.IntUnaryOperator;

/**
 * Releases rows that left the file set, once they are idle and {@link #RELEASE_DELAY_NANOS} have passed, so
 * that a request that still holds a row never meets another target under it.
 *
 * <p>Not thread-safe: the engine calls it from one thread at a time.
 */
final class RowCollector {

  /** Time for which a row that left the file set is kept, in ns. */
  static final long RELEASE_DELAY_NANOS = 60_000_000_000L;

  private final IntUnaryOperator inFlight;
  private final IntConsumer release;
  private final Map<Integer, Long> unusedSince = new HashMap<>();

  /**
   * Creates a collector of one table.
   *
   * @param inFlight counts what is in flight on a row
   * @param release releases a row
   */
  RowCollector(IntUnaryOperator inFlight, IntConsumer release) {
    this.inFlight = inFlight;
    this.release = release;
  }

  /** Notes which rows are used by the file set that is put in force. */
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

  /** Releases the rows whose time has come. */
  void collect(long nowNanos) {
    if (unusedSince.isEmpty()) {
      return;
    }
    unusedSince
        .entrySet()
        .removeIf(
            unused -> {
              boolean due = nowNanos - unused.getValue() >= RELEASE_DELAY_NANOS;
              if (!due || inFlight.applyAsInt(unused.getKey()) > 0) {
                return false;
              }
              release.accept(unused.getKey());
              return true;
            });
  }
}
