package org.chivecross.logic.key;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Issues the key prefixes that the directory hands out. Prefixes of one incarnation never name
 * another. Safe for use by many threads.
 */
public final class KeyPrefixIssuer {

  private final long incarnation;
  private final long startNanos;
  private final AtomicLong longestWindowMillis = new AtomicLong();

  /**
   * Creates an issuer.
   *
   * @param incarnation random number that this process drew at its start
   * @param startNanos monotonic time of the start
   */
  public KeyPrefixIssuer(long incarnation, long startNanos) {
    this.incarnation = incarnation;
    this.startNanos = startNanos;
  }

  /** Returns the incarnation in all prefixes. */
  public long incarnation() {
    return incarnation;
  }

  /**
   * Returns a prefix, to which the caller appends its unique part.
   *
   * @param windowMillis time for which this process answers for such keys, in ms
   */
  public String prefix(long windowMillis, long nowNanos) {
    longestWindowMillis.accumulateAndGet(windowMillis, Math::max);
    return String.format(Locale.ROOT, "%016x-%x-%x-", incarnation, millis(nowNanos), windowMillis);
  }

  /** Returns whether a key carries a prefix that this issuer can have issued by now. */
  boolean issued(IdempotencyKey key, long nowNanos) {
    return key.incarnation() == incarnation
        && key.windowMillis() <= longestWindowMillis.get()
        && key.issuedMillis() <= millis(nowNanos);
  }

  /** Returns the time since the start, in ms. */
  long millis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
  }
}
