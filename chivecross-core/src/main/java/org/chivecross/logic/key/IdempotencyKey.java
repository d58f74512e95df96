package org.chivecross.logic.key;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Value of an {@code Idempotency-Key} header: a prefix that one incarnation issued, and the
 * caller's own unique part. Immutable.
 *
 * <p>Form: {@code INCARNATION-ISSUED-WINDOW-UNIQUE}. The first three parts are hexadecimal: 64-bit
 * incarnation, time of issue in ms since that incarnation started, window in ms. The unique part
 * has 1 to 64 characters out of letters, digits and {@code . _ ~ -}.
 *
 * @param incarnation incarnation that owns the key
 * @param issuedMillis time of issue, in ms since the owner started, by the owner's monotonic clock
 * @param windowMillis time from the issue for which the owner answers for the key, in ms
 * @param unique the caller's part
 */
public record IdempotencyKey(
    long incarnation, long issuedMillis, long windowMillis, String unique) {

  private static final Pattern FORM =
      Pattern.compile("([0-9a-f]{16})-([0-9a-f]{1,12})-([0-9a-f]{1,8})-([A-Za-z0-9._~-]{1,64})");
  private static final int HEX = 16;

  /** Parses a header value; empty when it has another form. */
  public static Optional<IdempotencyKey> parse(String value) {
    Matcher matcher = FORM.matcher(value);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(
        new IdempotencyKey(
            Long.parseUnsignedLong(matcher.group(1), HEX),
            Long.parseLong(matcher.group(2), HEX),
            Long.parseLong(matcher.group(3), HEX),
            matcher.group(4)));
  }

  /** Returns the time at which the window ends, in ms since the owner started. */
  public long endMillis() {
    return issuedMillis + windowMillis;
  }
}
