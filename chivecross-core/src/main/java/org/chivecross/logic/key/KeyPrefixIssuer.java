package org.chivecross.logic.key;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Issues the key prefixes that the directory hands out. Prefixes of one incarnation never name
 * another. Immutable and safe for use by many threads.
 */
public final class KeyPrefixIssuer {

  private final long incarnation;
  private final long startNanos;
  private final long windowMillis;

  /**
   * Creates an issuer.
   *
   * @param incarnation random number that this process drew at its start
   * @param startNanos monotonic time of the start
   * @param windowMillis time for which this process answers for a key, in ms
   */
  public KeyPrefixIssuer(long incarnation, long startNanos, long windowMillis) {
    this.incarnation = incarnation;
    this.startNanos = startNanos;
    this.windowMillis = windowMillis;
  }

  /** Returns the incarnation in all prefixes. */
  public long incarnation() {
    return incarnation;
  }

  /** Returns a prefix, to which the caller appends its unique part. */
  public String prefix(long nowNanos) {
    return String.format(Locale.ROOT, "%016x-%x-%x-", incarnation, millis(nowNanos), windowMillis);
  }

  /** Returns whether a key carries a prefix that this issuer can have issued by now. */
  boolean issued(IdempotencyKey key, long nowNanos) {
    return key.incarnation() == incarnation
        && key.windowMillis() == windowMillis
        && key.issuedMillis() <= millis(nowNanos);
  }

  /** Returns the time since the start, in ms. */
  long millis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
  }
}
