package org.chivecross.logic.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether an entry lacks processor time, from how late a thread of it wakes up. Not
 * thread-safe.
 *
 * <p>A wake-up counts only if the thread was idle when it was due: a delay by the thread's own
 * tasks, such as code that runs for the first time, says nothing about the processor. Two figures
 * are compared with their bounds over windows of at least a second: the fraction of wake-ups that
 * are late, which shows strain when wake-ups are few, and the fraction of the time in which the
 * process stood still, which shows it when they are many.
 *
 * <p>Invariant: no single standstill makes an entry strained, however long it is.
 */
public final class ProcessorStrain {

  /**
   * Figures of the last complete window. Immutable.
   *
   * @param meanDelayMillis mean delay of a wake-up, in ms
   * @param lateFraction fraction of the wake-ups that were late, from 0 to 1
   * @param standstill fraction of the time in which the process stood still, from 0 to 1
   * @param strained whether the entry lacks processor time
   */
  public record Reading(
      double meanDelayMillis, double lateFraction, double standstill, boolean strained) {}

  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /**
   * Time after the start that isn't measured. Code that runs for the first time uses up the quota
   * of any small VM; the entry needs callers to become warm.
   */
  private static final long COLD_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final long MIN_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** With fewer, a few collections of garbage could make a third of them late. */
  private static final int MIN_WAKE_UPS = 10;

  /** Period of a processor quota; a longer standstill has another cause and counts as this long. */
  private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Other threads and the garbage collector cause shorter delays without any quota. */
  private static final long MIN_STANDSTILL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** Delay from which a wake-up is late: a third of the timeout of probes. */
  private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /**
   * With a third late, four in five requests are delayed, as each waits for about four wake-ups.
   */
  private static final double MAX_LATE_FRACTION = 1.0 / 3;

  /**
   * At a half, a standstill within a period of 100 ms lasts 50 ms; little more exceeds the timeout
   * of probes, 60 ms.
   */
  private static final double MAX_STANDSTILL = 0.5;

  /** Time with both figures below half of their bounds after which the strain is over. */
  private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(2);

  private long windowStartNanos;
  private long delayNanos;
  private long standstillNanos;
  private int wakeUps;
  private int lateWakeUps;
  private long calmNanos;
  private Reading reading = new Reading(0, 0, 0, false);

  /** Creates the state of an entry that starts. */
  public ProcessorStrain(long startNanos) {
    windowStartNanos = startNanos + COLD_NANOS;
  }

  /**
   * Records that the thread starts a task.
   *
   * @param dueNanos monotonic time at which the task was due
   * @param idleSinceNanos monotonic time at which the thread ended its previous task
   * @param nowNanos monotonic time at which it starts this one
   */
  public void wokeUp(long dueNanos, long idleSinceNanos, long nowNanos) {
    boolean wasIdle = dueNanos - idleSinceNanos > 0;
    if (!wasIdle || dueNanos - windowStartNanos < 0) {
      return;
    }
    long delay = Math.min(Math.max(0, nowNanos - dueNanos), MAX_DELAY_NANOS);
    wakeUps++;
    lateWakeUps += delay > LATE_NANOS ? 1 : 0;
    delayNanos += delay;
    standstillNanos += delay < MIN_STANDSTILL_NANOS ? 0 : delay;
    long windowNanos = nowNanos - windowStartNanos;
    if (windowNanos >= MIN_WINDOW_NANOS && wakeUps >= MIN_WAKE_UPS) {
      endWindow(windowNanos);
      windowStartNanos = nowNanos;
    }
  }

  /** Returns the figures of the last complete window; zero before the first one. */
  public Reading reading() {
    return reading;
  }

  private void endWindow(long windowNanos) {
    double meanDelayMillis = delayNanos / NANOS_PER_MILLI / wakeUps;
    double lateFraction = (double) lateWakeUps / wakeUps;
    double standstill = (double) standstillNanos / windowNanos;
    double excess = Math.max(lateFraction / MAX_LATE_FRACTION, standstill / MAX_STANDSTILL);
    calmNanos = excess < 0.5 ? calmNanos + windowNanos : 0;
    boolean strained = reading.strained() ? calmNanos < RECOVERY_NANOS : excess > 1;
    reading = new Reading(meanDelayMillis, lateFraction, standstill, strained);
    delayNanos = 0;
    standstillNanos = 0;
    wakeUps = 0;
    lateWakeUps = 0;
  }
}
