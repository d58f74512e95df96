package org.chivecross.logic.balance;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Seeded random numbers for the request path. Safe for use by many threads; allocates nothing.
 *
 * <p>Each stripe is a counter whose values are mixed as in SplitMix64. The time selects the stripe,
 * so that threads rarely contend for the same one. With a single thread the numbers depend only on
 * the seed and the times.
 */
public final class SharedRandom {

  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
  private static final int STRIPES = 16;
  private static final int LONGS_PER_CACHE_LINE = 16;

  private final long seed;
  private final AtomicLongArray counters = new AtomicLongArray(STRIPES * LONGS_PER_CACHE_LINE);

  /** Creates a source whose numbers depend on the seed. */
  public SharedRandom(long seed) {
    this.seed = seed;
  }

  /** Returns 64 random bits. */
  public long nextLong(long nowNanos) {
    int stripe = (int) (mix(nowNanos) & (STRIPES - 1));
    long count = counters.incrementAndGet(stripe * LONGS_PER_CACHE_LINE);
    return mix(seed + (count * STRIPES + stripe) * GOLDEN_GAMMA);
  }

  /** Returns a random number from 0 to {@code bound - 1}. */
  public int nextInt(int bound, long nowNanos) {
    return scale(nextLong(nowNanos), bound);
  }

  /** Returns a random number of at least 0 and below 1. */
  public double nextDouble(long nowNanos) {
    return (nextLong(nowNanos) >>> 11) * 0x1.0p-53;
  }

  /** Maps the upper half of random bits to 0 to {@code bound - 1}. */
  public static int scale(long bits, int bound) {
    return (int) (((bits >>> Integer.SIZE) * bound) >>> Integer.SIZE);
  }

  private static long mix(long value) {
    long z = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
