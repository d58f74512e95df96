package org.chivecross.logic.membership;

/** Hash functions for rendezvous hashing and ring positions. Stateless. */
public final class RendezvousHash {

  private static final long SPLITMIX64_MULTIPLIER_1 = 0xBF58476D1CE4E5B9L;
  private static final long SPLITMIX64_MULTIPLIER_2 = 0x94D049BB133111EBL;
  private static final long SPLITMIX64_GAMMA = 0x9E3779B97F4A7C15L;
  private static final int SPLITMIX64_SHIFT_1 = 30;
  private static final int SPLITMIX64_SHIFT_2 = 27;
  private static final int SPLITMIX64_SHIFT_3 = 31;

  private RendezvousHash() {}

  /** Returns the weight of a node for a key. */
  public static long weight(long key, long node) {
    return mix(mix(key + SPLITMIX64_GAMMA) ^ node);
  }

  /** Returns the hash of a text. */
  public static long of(String text) {
    long hash = SPLITMIX64_GAMMA;
    for (int i = 0; i < text.length(); i++) {
      hash = mix(hash ^ text.charAt(i));
    }
    return hash;
  }

  /** Mixes all bits (SplitMix64 finalizer). */
  private static long mix(long value) {
    long z = value;
    z = (z ^ (z >>> SPLITMIX64_SHIFT_1)) * SPLITMIX64_MULTIPLIER_1;
    z = (z ^ (z >>> SPLITMIX64_SHIFT_2)) * SPLITMIX64_MULTIPLIER_2;
    return z ^ (z >>> SPLITMIX64_SHIFT_3);
  }
}
