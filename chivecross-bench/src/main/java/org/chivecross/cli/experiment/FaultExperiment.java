package org.chivecross.cli.experiment;

import java.util.ArrayList;
import java.util.List;

/**
 * Compares the default policy with the policy "local least" under each fault in simulated runs, and
 * prints a Markdown table. Argument, optional: number of seeds.
 */
public final class FaultExperiment {

  private static final int SECONDS = 18;
  private static final int FAULT_START_SECOND =
      (int) (ClusterModel.FAULT_START_NANOS / ClusterModel.NANOS_PER_SECOND);
  private static final int REPORT_DELAY_MILLIS = 200;

  private FaultExperiment() {}

  /** Runs all faults in both deployments. */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 5;
    System.out.println(
        "| deployment | load | fault | policy | p99 before ms | p99 in fault ms | p99 13-15 s ms"
            + " | p99 from 15 s ms | failed | refused | last send after fault ms |");
    System.out.println("|---|---|---|---|---|---|---|---|---|---|---|");
    for (Scenario base : List.of(Scenario.pulpwood(), Scenario.screenworks())) {
      Scenario scenario = base.withSeconds(SECONDS).withLoad(0.8);
      for (Scenario.Fault fault : Scenario.Fault.values()) {
        print(scenario.withFault(fault), fault.toString(), seeds);
      }
      print(scenario.withReportDelay(REPORT_DELAY_MILLIS), "reports 200 ms late", seeds);
      print(scenario.withReportDelay(REPORT_DELAY_MILLIS).withNoise(), "200 ms late, noisy", seeds);
    }
  }

  private static void print(Scenario scenario, String faultName, int seeds) {
    for (PolicyCase policy : DecisionExperiment.policies()) {
      if (!policy.name().equals("default") && !policy.name().equals("local least")) {
        continue;
      }
      List<RunResult> results = new ArrayList<>();
      for (int seed = 1; seed <= seeds; seed++) {
        results.add(new ClusterModel(scenario, policy, seed).run());
      }
      RunResult sum = results.get(0).copy();
      results.subList(1, results.size()).forEach(sum::add);
      System.out.printf(
          "| %s | %.1f | %s | %s | %.1f | %.1f | %.1f | %.1f | %d | %d | %.0f |%n",
          scenario.name(),
          scenario.load(),
          faultName,
          policy.name(),
          sum.percentileMillisBetween(99, 0, FAULT_START_SECOND),
          sum.percentileMillisBetween(99, FAULT_START_SECOND, FAULT_START_SECOND + 10),
          sum.percentileMillisBetween(99, FAULT_START_SECOND + 10, FAULT_START_SECOND + 12),
          sum.percentileMillisBetween(99, FAULT_START_SECOND + 12, SECONDS),
          sum.failedCount(),
          sum.refusedCount(),
          Math.max(0, sum.lastSentToFaultyMillis() - FAULT_START_SECOND * 1000));
    }
  }
}
