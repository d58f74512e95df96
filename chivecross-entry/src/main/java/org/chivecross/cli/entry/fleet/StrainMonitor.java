package org.chivecross.cli.entry.fleet;

import java.util.function.Consumer;
import org.chivecross.logic.fleet.ProcessorStrain;
import org.tinylog.Logger;

/**
 * Measures by the wake-ups of the scheduler whether this entry lacks processor time. It schedules
 * nothing itself. {@link #wokeUp} is called on the scheduler's thread only; the figures may be read
 * on any thread.
 */
final class StrainMonitor implements EntryScheduler.WakeUpListener {

  private final ProcessorStrain strain;
  private final Consumer<Boolean> changed;
  private volatile ProcessorStrain.Reading reading;

  /**
   * Creates a monitor of an entry that starts.
   *
   * @param changed informed, on the scheduler's thread, when strain begins or ends
   */
  StrainMonitor(long startNanos, Consumer<Boolean> changed) {
    strain = new ProcessorStrain(startNanos);
    reading = strain.reading();
    this.changed = changed;
  }

  @Override
  public void wokeUp(long dueNanos, long idleSinceNanos, long nowNanos) {
    strain.wokeUp(dueNanos, idleSinceNanos, nowNanos);
    ProcessorStrain.Reading next = strain.reading();
    boolean isChange = next.strained() != reading.strained();
    reading = next;
    if (isChange) {
      log(next);
      changed.accept(next.strained());
    }
  }

  private static void log(ProcessorStrain.Reading reading) {
    long latePercent = Math.round(100 * reading.lateFraction());
    long standstillPercent = Math.round(100 * reading.standstill());
    if (reading.strained()) {
      Logger.warn(
          "strained: {} % of the wake-ups late, standstill {} %; directory answers leave this entry"
              + " out while most entries of its data centre are not strained",
          latePercent, standstillPercent);
    } else {
      Logger.info(
          "strain ended: {} % of the wake-ups late, standstill {} %",
          latePercent, standstillPercent);
    }
  }

  /** Returns whether this entry lacks processor time. */
  boolean isStrained() {
    return reading.strained();
  }

  /** Returns the mean delay of a wake-up, in microseconds. */
  long delayMicros() {
    return Math.round(1_000 * reading.meanDelayMillis());
  }

  /** Returns the percentage of wake-ups that were late. */
  long latePercent() {
    return Math.round(100 * reading.lateFraction());
  }

  /** Returns the percentage of the time in which the process stood still. */
  long standstillPercent() {
    return Math.round(100 * reading.standstill());
  }
}
