package org.chivecross.logic.fleet;

import java.util.concurrent.TimeUnit;

/**
 * An entry's part of the requests that all entries take. Not thread-safe.
 *
 * <p>Invariant: the part doesn't grow because others fall silent; they may be cut off from here and
 * go on using their parts.
 */
final class LoadShare {

  /** Time for which the load of entries that fell silent still counts. */
  private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(30);

  private long largestLoad;
  private long largestNanos;

  /**
   * Notes the load of the others.
   *
   * @param others their requests in a second, each entry with one more
   * @param own requests of this entry in a second
   */
  void noteOthers(long others, int own, long nowNanos) {
    long load = others + own + 1;
    if (load >= largestLoad || nowNanos - largestNanos > MEMORY_NANOS) {
      largestLoad = load;
      largestNanos = nowNanos;
    }
  }

  /** Returns the part, from 0 to 1; 0 before anything of the others is known. */
  double part(int own) {
    return largestLoad == 0 ? 0 : Math.min(1, (own + 1.0) / largestLoad);
  }
}
