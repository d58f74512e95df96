package org.chivecross.cli.simulation;

import java.util.concurrent.TimeUnit;

/**
 * Runs {@link ChaosSchedule} with consecutive seeds. Arguments: first seed, number of schedules,
 * entries, faults for each schedule, time limit for agreement in s.
 */
public final class ChaosMain {

  private ChaosMain() {}

  /** Prints each schedule that failed and a summary; exits with 1 when any failed. */
  public static void main(String[] arguments) {
    long firstSeed = Long.parseLong(arguments[0]);
    int count = Integer.parseInt(arguments[1]);
    int entryCount = Integer.parseInt(arguments[2]);
    int faultCount = Integer.parseInt(arguments[3]);
    long boundNanos = TimeUnit.SECONDS.toNanos(Long.parseLong(arguments[4]));
    int failed = 0;
    long slowestNanos = 0;
    for (long seed = firstSeed; seed < firstSeed + count; seed++) {
      ChaosSchedule.Verdict verdict =
          new ChaosSchedule(seed, entryCount, faultCount).run(boundNanos);
      slowestNanos = Math.max(slowestNanos, verdict.agreedNanos());
      if (verdict.violations() > 0 || verdict.agreedNanos() < 0) {
        failed++;
        System.out.println("seed " + seed + " failed: " + verdict);
      }
    }
    System.out.printf(
        "%d schedules, %d failed, slowest agreement %d ms%n",
        count, failed, TimeUnit.NANOSECONDS.toMillis(slowestNanos));
    System.exit(failed == 0 ? 0 : 1);
  }
}
