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
 * @param recentActivityMillis time since the last activity up to which a connection counts as live
 * @param retainedBodyBytes bytes of a request body that are kept, so that it can be sent again
 * @param heldResponseBytes bytes of a response up to which it is kept until it is complete
 * @param selectorThreads number of threads that serve all connections
 */
public record DataPathSettings(
    int maxHeadBytes,
    int maxHeaders,
    long maxBodyBytes,
    int headerTimeoutMillis,
    int idleTimeoutMillis,
    int connectTimeoutMillis,
    int recentActivityMillis,
    int retainedBodyBytes,
    int heldResponseBytes,
    int selectorThreads) {

  /** Default limit on the bytes of a body that are kept, and so can be sent again. */
  private static final int RETAINED_BYTES = 64 * 1024;

  /** Creates settings with the default number of kept bytes and one thread per processor. */
  public DataPathSettings(
      int maxHeadBytes,
      int maxHeaders,
      long maxBodyBytes,
      int headerTimeoutMillis,
      int idleTimeoutMillis,
      int connectTimeoutMillis,
      int recentActivityMillis) {
    this(
        maxHeadBytes,
        maxHeaders,
        maxBodyBytes,
        headerTimeoutMillis,
        idleTimeoutMillis,
        connectTimeoutMillis,
        recentActivityMillis,
        RETAINED_BYTES,
        0,
        Runtime.getRuntime().availableProcessors());
  }

  /** Returns the time within which a connection to a target must be open, in ns. */
  long connectTimeoutNanos() {
    return TimeUnit.MILLISECONDS.toNanos(connectTimeoutMillis);
  }

  /** Returns the settings that apply without flags. */
  public static DataPathSettings defaults() {
    return new DataPathSettings(16 * 1024, 100, 4L << 30, 5_000, 60_000, 250, 500);
  }
}
