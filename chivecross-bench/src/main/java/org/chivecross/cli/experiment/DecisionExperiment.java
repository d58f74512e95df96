package org.chivecross.cli.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.chivecross.logic.balance.HotColdPolicy;
import org.chivecross.logic.balance.LowestScorePolicy;
import org.chivecross.logic.balance.RandomPolicy;
import org.chivecross.logic.balance.ReportedLoadScore;
import org.chivecross.logic.balance.RoundRobinPolicy;
import org.chivecross.logic.balance.ScorePreferences;
import org.chivecross.logic.balance.TwoChoicesPolicy;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.model.table.TargetTable;

/**
 * Compares target selection policies in simulated runs and prints Markdown tables. Arguments, all
 * optional: measured seconds, number of seeds, names of the policies to run separated by
 * semicolons, text that the description of a scenario must contain.
 */
public final class DecisionExperiment {

  private static final int EXAMINED_TARGETS = 64;
  private static final double HEDGE_FRACTION = 0.02;

  private DecisionExperiment() {}

  /** Runs all selected scenarios with all selected policies. */
  public static void main(String[] args) {
    int seconds = args.length > 0 ? Integer.parseInt(args[0]) : 10;
    int seeds = args.length > 1 ? Integer.parseInt(args[1]) : 5;
    List<String> policyNames =
        args.length > 2 && !args[2].isEmpty() ? Arrays.asList(args[2].split(";")) : List.of();
    String filter = args.length > 3 ? args[3] : "";
    for (Scenario base : List.of(Scenario.pulpwood(), Scenario.screenworks())) {
      for (boolean noisy : new boolean[] {false, true}) {
        for (double load : new double[] {0.5, 0.8}) {
          Scenario scenario = base.withLoad(load).withSeconds(seconds);
          scenario = noisy ? scenario.withNoise() : scenario;
          if (scenario.toString().contains(filter)) {
            print(scenario, seeds, policyNames);
          }
        }
      }
    }
  }

  static List<PolicyCase> policies() {
    return List.of(
        new PolicyCase("omniscient", (t, v, r) -> new RandomPolicy(r), true, 0),
        new PolicyCase("random", (t, v, r) -> new RandomPolicy(r), false, 0),
        new PolicyCase("round robin", (t, v, r) -> new RoundRobinPolicy(t, r), false, 0),
        new PolicyCase(
            "local least",
            (t, v, r) -> new LowestScorePolicy(inFlightPerSlot(t), r, EXAMINED_TARGETS),
            false,
            0),
        new PolicyCase(
            "two choices, local",
            (t, v, r) -> new TwoChoicesPolicy(inFlightPerSlot(t), r),
            false,
            0),
        new PolicyCase(
            "two choices, reports",
            (t, v, r) ->
                new TwoChoicesPolicy(new ReportedLoadScore(t, v, ScorePreferences.DEFAULT), r),
            false,
            0),
        new PolicyCase("hot-cold", (t, v, r) -> new HotColdPolicy(t, r), false, 0),
        new PolicyCase("default, no hedges", BalancerEngine::defaultPolicy, false, 0),
        new PolicyCase("default", BalancerEngine::defaultPolicy, false, HEDGE_FRACTION));
  }

  private static LowestScorePolicy.TargetScore inFlightPerSlot(TargetTable targets) {
    return (candidates, index, now) ->
        (double) targets.loads().inFlight(candidates.row(index)) / candidates.slots(index);
  }

  private static void print(Scenario scenario, int seeds, List<String> policyNames) {
    System.out.printf(
        "%n%s, %.0f %%, %s, %d seeds x %d s%n",
        scenario.name(),
        scenario.load() * 100,
        scenario.noisy() ? "noisy" : "steady",
        seeds,
        scenario.seconds());
    System.out.println(
        "| policy | p50 ms | p99 ms | p99 by seed | p99.9 ms | failed | refused | sends |");
    System.out.println("|---|---|---|---|---|---|---|---|");
    for (PolicyCase policy : policies()) {
      if (!policyNames.isEmpty() && !policyNames.contains(policy.name())) {
        continue;
      }
      List<RunResult> results = new ArrayList<>();
      for (int seed = 1; seed <= seeds; seed++) {
        results.add(new ClusterModel(scenario, policy, seed).run());
      }
      printRow(policy.name(), results);
    }
  }

  private static void printRow(String name, List<RunResult> results) {
    RunResult sum = results.get(0).copy();
    StringBuilder perSeed = new StringBuilder();
    for (int i = 0; i < results.size(); i++) {
      perSeed
          .append(i == 0 ? "" : " ")
          .append(String.format("%.1f", results.get(i).percentileMillis(99)));
      if (i > 0) {
        sum.add(results.get(i));
      }
    }
    System.out.printf(
        "| %s | %.1f | %.1f | %s | %.1f | %d | %d | %.3f |%n",
        name,
        sum.percentileMillis(50),
        sum.percentileMillis(99),
        perSeed,
        sum.percentileMillis(99.9),
        sum.failedCount(),
        sum.refusedCount(),
        (double) sum.sent() / sum.arrived());
  }
}
