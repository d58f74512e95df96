package org.chivecross.logic.key;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Issues the key prefixes that the entry directory gives to callers. Thread-safe.
 *
 * <p>Invariant: a prefix names the incarnation that owns its keys, and never another one.
 */
public final class KeyPrefixIssuer {

  private final long incarnation;
  private final long startNanos;
  private final AtomicLong maxWindowMillis = new AtomicLong();

  /**
   * Creates an issuer.
   *
   * @param incarnation random number that identifies this run of the process
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
   * Returns a prefix to which the caller appends its unique part.
   *
   * @param windowMillis time for which this process keeps records of such keys, in ms
   */
  public String prefix(long windowMillis, long nowNanos) {
    allowWindow(windowMillis);
    return format(incarnation, uptimeMillis(nowNanos), windowMillis);
  }

  /** Accepts keys with a window of up to this length from now on, also those issued by others. */
  public void allowWindow(long windowMillis) {
    maxWindowMillis.accumulateAndGet(windowMillis, Math::max);
  }

  /** Returns the prefix that an incarnation issues at an uptime of {@code issuedMillis}. */
  static String format(long incarnation, long issuedMillis, long windowMillis) {
    return String.format(Locale.ROOT, "%016x-%x-%x-", incarnation, issuedMillis, windowMillis);
  }

  /** Returns whether this issuer could have issued the prefix of a key by now. */
  boolean couldHaveIssued(IdempotencyKey key, long nowNanos) {
    return key.incarnation() == incarnation
        && key.windowMillis() <= maxWindowMillis.get()
        && key.issuedMillis() <= uptimeMillis(nowNanos);
  }

  /** Returns the time since the start, in ms. */
  long uptimeMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
  }
}
