package org.chivecross.cli.standin.upstream;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Slows targets down at random moments, as noisy neighbours on a shared host do. Each disturbance
 * lasts 50 to 500 ms and is followed by a pause of one to ten times that. Thread-safe: each target
 * has its own chain of timer tasks.
 */
final class NoiseSchedule {

  private static final int SHORTEST_MILLIS = 50;
  private static final int LONGEST_MILLIS = 500;
  private static final int LONGEST_PAUSE_FACTOR = 10;

  private final ScheduledExecutorService timer;
  private final double factor;
  private final long seed;

  NoiseSchedule(ScheduledExecutorService timer, double factor, long seed) {
    this.timer = timer;
    this.factor = factor;
    this.seed = seed;
  }

  /** Starts to disturb the given targets, each by its own seeded schedule. */
  void start(List<SlottedTarget> targets) {
    for (int i = 0; i < targets.size(); i++) {
      pause(targets.get(i), new SplittableRandom(seed + i));
    }
  }

  private void pause(SlottedTarget target, SplittableRandom random) {
    int length = random.nextInt(SHORTEST_MILLIS, LONGEST_MILLIS + 1);
    long wait = (long) length * random.nextInt(1, LONGEST_PAUSE_FACTOR + 1);
    timer.schedule(() -> disturb(target, random, length), wait, TimeUnit.MILLISECONDS);
  }

  private void disturb(SlottedTarget target, SplittableRandom random, int length) {
    target.setNoise(factor);
    timer.schedule(
        () -> {
          target.setNoise(1);
          pause(target, random);
        },
        length,
        TimeUnit.MILLISECONDS);
  }
}
