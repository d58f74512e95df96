package org.chivecross.cli.standin.upstream;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Slows targets down at random times, as noisy neighbours on a shared host do. Each slowdown lasts
 * 50 to 500 ms and follows a pause of one to ten times its length. Thread-safe: each target has its
 * own chain of timer tasks.
 */
final class NoiseSchedule {

  private static final int MIN_SLOWDOWN_MILLIS = 50;
  private static final int MAX_SLOWDOWN_MILLIS = 500;
  private static final int MAX_PAUSE_FACTOR = 10;

  private final ScheduledExecutorService timer;
  private final double slowdownFactor;
  private final long seed;

  NoiseSchedule(ScheduledExecutorService timer, double factor, long seed) {
    this.timer = timer;
    this.slowdownFactor = factor;
    this.seed = seed;
  }

  /** Schedules slowdowns of the given targets, each with its own seeded random source. */
  void start(List<SlottedTarget> targets) {
    for (int i = 0; i < targets.size(); i++) {
      scheduleSlowdown(targets.get(i), new SplittableRandom(seed + i));
    }
  }

  private void scheduleSlowdown(SlottedTarget target, SplittableRandom random) {
    int slowdownMillis = random.nextInt(MIN_SLOWDOWN_MILLIS, MAX_SLOWDOWN_MILLIS + 1);
    long pauseMillis = (long) slowdownMillis * random.nextInt(1, MAX_PAUSE_FACTOR + 1);
    timer.schedule(
        () -> slowDown(target, random, slowdownMillis), pauseMillis, TimeUnit.MILLISECONDS);
  }

  private void slowDown(SlottedTarget target, SplittableRandom random, int slowdownMillis) {
    target.setNoiseFactor(slowdownFactor);
    timer.schedule(
        () -> {
          target.setNoiseFactor(1);
          scheduleSlowdown(target, random);
        },
        slowdownMillis,
        TimeUnit.MILLISECONDS);
  }
}
