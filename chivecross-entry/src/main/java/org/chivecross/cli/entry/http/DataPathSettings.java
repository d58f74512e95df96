package org.chivecross.cli.entry.http;

import java.util.concurrent.TimeUnit;

/**
 * Limits and time-outs of the data path. Immutable.
 *
 * @param maxHeadBytes most bytes of a request or response head
 * @param maxHeaders most header lines of a head
 * @param maxBodyBytes most bytes of a request body
 * @param headerTimeoutMillis time within which a request head must be complete, in ms
 * @param idleTimeoutMillis time after which an idle connection is closed, in ms
 * @param connectTimeoutMillis time within which a connection to a target must be open, in ms
 * @param recentLifeMillis age of the last sign of life up to which a connection counts as live
 */
public record DataPathSettings(
    int maxHeadBytes,
    int maxHeaders,
    long maxBodyBytes,
    int headerTimeoutMillis,
    int idleTimeoutMillis,
    int connectTimeoutMillis,
    int recentLifeMillis) {

  /** Returns the time within which a connection to a target must be open, in ns. */
  long connectTimeoutNanos() {
    return TimeUnit.MILLISECONDS.toNanos(connectTimeoutMillis);
  }

  /** Returns the settings that hold when no flag is given. */
  public static DataPathSettings defaults() {
    return new DataPathSettings(16 * 1024, 100, 4L << 30, 5_000, 60_000, 250, 500);
  }
}
