package org.chivecross.cli.simulation;

import java.util.concurrent.TimeUnit;

/** Runs many chaos schedules: first seed, count, entries, faults, bound in s. */
public final class ChaosMain {

  private ChaosMain() {}

  /** Prints each schedule that failed and a summary; exits with 1 when any failed. */
  public static void main(String[] arguments) {
    long first = Long.parseLong(arguments[0]);
    int count = Integer.parseInt(arguments[1]);
    int size = Integer.parseInt(arguments[2]);
    int steps = Integer.parseInt(arguments[3]);
    long bound = TimeUnit.SECONDS.toNanos(Long.parseLong(arguments[4]));
    int failed = 0;
    long slowest = 0;
    for (long seed = first; seed < first + count; seed++) {
      ChaosSchedule.Verdict verdict = new ChaosSchedule(seed, size, steps).run(bound);
      slowest = Math.max(slowest, verdict.agreedNanos());
      if (verdict.violations() > 0 || verdict.agreedNanos() < 0) {
        failed++;
        System.out.println("seed " + seed + " failed: " + verdict);
      }
    }
    System.out.printf(
        "%d schedules, %d failed, slowest agreement %d ms%n",
        count, failed, TimeUnit.NANOSECONDS.toMillis(slowest));
    System.exit(failed == 0 ? 0 : 1);
  }
}
