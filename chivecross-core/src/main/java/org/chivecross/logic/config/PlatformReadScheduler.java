package org.chivecross.logic.config;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Schedules the reads and watches of the manifest on the platform by this entry.
 *
 * <p>Invariant: at most one watch and one direct read are outstanding, and every call takes a token
 * from the budget. Not thread-safe; the tick thread owns it.
 */
final class PlatformReadScheduler {

  private static final long RESPONSE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(15);
  private static final long FIRST_WATCH_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final double JITTER_FRACTION = 0.2;

  private final ConfigPreferences preferences;
  private final PlatformCalls platform;
  private final RandomGenerator random;
  private final CallBudget budget;
  private boolean started;
  private boolean reader;
  private boolean reachable = true;
  private boolean watching;
  private boolean reading;
  private long watchSentNanos;
  private long readSentNanos;
  private long nextWatchNanos;
  private long nextReadNanos;
  private long backoffNanos = MIN_BACKOFF_NANOS;
  private long silentWatches;

  PlatformReadScheduler(
      ConfigPreferences preferences,
      PlatformCalls platform,
      RandomGenerator random,
      CallBudget budget) {
    this.preferences = preferences;
    this.platform = platform;
    this.random = random;
    this.budget = budget;
  }

  /**
   * Makes the calls that are scheduled for now.
   *
   * @param isReader whether this entry is to watch the manifest
   * @param revision highest revision of the manifest seen on the platform
   */
  void tick(boolean isReader, long revision, long nowNanos) {
    if (!started) {
      started = true;
      // Peers are asked first, so that entries that start together do not overload the platform.
      boolean noPeersConfigured = preferences.noPeerWaitNanos() == 0;
      nextReadNanos =
          nowNanos + (noPeersConfigured ? 0 : random.nextLong(preferences.directReadNanos()));
      nextWatchNanos = nowNanos + (noPeersConfigured ? 0 : FIRST_WATCH_DELAY_NANOS);
    }
    reader = isReader;
    failUnansweredCalls(nowNanos);
    boolean startsWatch = reader && reachable && !watching && nowNanos >= nextWatchNanos;
    if (startsWatch && budget.tryTake(nowNanos)) {
      watching = true;
      watchSentNanos = nowNanos;
      platform.watchManifest(revision, preferences.watchMillis());
    }
    if (!reading && nowNanos >= nextReadNanos && budget.tryTake(nowNanos)) {
      reading = true;
      readSentNanos = nowNanos;
      nextReadNanos = nowNanos + jittered(preferences.directReadNanos());
      platform.readManifest();
    }
  }

  private void failUnansweredCalls(long nowNanos) {
    long watchLimit =
        TimeUnit.MILLISECONDS.toNanos(preferences.watchMillis()) + RESPONSE_TIMEOUT_NANOS;
    if (watching && nowNanos - watchSentNanos > watchLimit) {
      silentWatches++;
      failed(true, nowNanos);
    }
    if (reading && nowNanos - readSentNanos > RESPONSE_TIMEOUT_NANOS) {
      failed(false, nowNanos);
    }
  }

  /** Handles the answer to a read or a watch. */
  void answered(boolean isWatch, long nowNanos) {
    reachable = true;
    backoffNanos = MIN_BACKOFF_NANOS;
    if (isWatch) {
      watching = false;
      nextWatchNanos = nowNanos + jittered(MIN_BACKOFF_NANOS / 2);
    } else {
      reading = false;
    }
  }

  /** Handles the failure of a read or a watch. */
  void failed(boolean isWatch, long nowNanos) {
    if (!isWatch) {
      reading = false;
      reachable = false;
      return;
    }
    watching = false;
    nextWatchNanos = nowNanos + jittered(backoffNanos);
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
  }

  boolean isReader() {
    return reader;
  }

  boolean isReachable() {
    return reachable;
  }

  long silentWatches() {
    return silentWatches;
  }

  private long jittered(long nanos) {
    return (long) (nanos * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random.nextDouble()));
  }
}
