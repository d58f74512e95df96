package org.chivecross.logic.membership;

/** Well-mixed hashes for rendezvous hashing and ring positions. Stateless. */
public final class RendezvousHash {

  private static final long FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9L;
  private static final long SECOND_MULTIPLIER = 0x94D049BB133111EBL;
  private static final long INCREMENT = 0x9E3779B97F4A7C15L;
  private static final int FIRST_SHIFT = 30;
  private static final int SECOND_SHIFT = 27;
  private static final int THIRD_SHIFT = 31;

  private RendezvousHash() {}

  /** Returns the weight of a node for a key. */
  public static long weight(long key, long node) {
    return mix(mix(key + INCREMENT) ^ node);
  }

  /** Returns the hash of a text. */
  public static long of(String text) {
    long hash = INCREMENT;
    for (int i = 0; i < text.length(); i++) {
      hash = mix(hash ^ text.charAt(i));
    }
    return hash;
  }

  /** Mixes all bits (SplitMix64 finalizer). */
  private static long mix(long value) {
    long z = value;
    z = (z ^ (z >>> FIRST_SHIFT)) * FIRST_MULTIPLIER;
    z = (z ^ (z >>> SECOND_SHIFT)) * SECOND_MULTIPLIER;
    return z ^ (z >>> THIRD_SHIFT);
  }
}
