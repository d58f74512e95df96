package org.chivecross.cli.admin;

/** Parses durations. Stateless. */
final class TimeText {

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long MILLIS_PER_MINUTE = 60_000;

  private TimeText() {}

  /** Returns the milliseconds of a duration such as {@code 500ms}, {@code 20s} or {@code 2m}. */
  static long millis(String text) {
    if (text.endsWith("ms")) {
      return Long.parseLong(text.substring(0, text.length() - 2));
    }
    long number = Long.parseLong(text.substring(0, text.length() - 1));
    return text.endsWith("s") ? number * MILLIS_PER_SECOND : number * MILLIS_PER_MINUTE;
  }
}
