package org.chivecross.logic.key;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Value of an {@code Idempotency-Key} header: a prefix issued by one incarnation of an entry, and a
 * unique part chosen by the caller. Immutable.
 *
 * <p>Format: {@code INCARNATION-ISSUED-WINDOW-UNIQUE}. The first three parts are hexadecimal:
 * 64-bit incarnation, time of issue in ms since that incarnation started, window in ms. The unique
 * part consists of 1 to 64 letters, digits and characters of {@code . _ ~ -}.
 *
 * @param incarnation incarnation that owns the key
 * @param issuedMillis time of issue, in ms since the owner started, by the owner's monotonic clock
 * @param windowMillis time after the issue for which the owner keeps a record of the key, in ms
 * @param unique the caller's part
 */
public record IdempotencyKey(
    long incarnation, long issuedMillis, long windowMillis, String unique) {

  private static final Pattern FORMAT =
      Pattern.compile("([0-9a-f]{16})-([0-9a-f]{1,12})-([0-9a-f]{1,8})-([A-Za-z0-9._~-]{1,64})");
  private static final int HEX_RADIX = 16;

  /** Parses a header value; empty if it doesn't have this format. */
  public static Optional<IdempotencyKey> parse(String value) {
    Matcher matcher = FORMAT.matcher(value);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(
        new IdempotencyKey(
            Long.parseUnsignedLong(matcher.group(1), HEX_RADIX),
            Long.parseLong(matcher.group(2), HEX_RADIX),
            Long.parseLong(matcher.group(3), HEX_RADIX),
            matcher.group(4)));
  }

  /** Returns the time at which the window ends, in ms since the owner started. */
  public long endMillis() {
    return issuedMillis + windowMillis;
  }
}
