package org.chivecross.logic.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Exhaustive exploration of a virtual fleet: visits every reachable state once, by replaying the
 * commands that lead to it. Not thread-safe.
 */
final class FleetExplorer {

  private static final int MAX_VIOLATIONS = 3;
  private static final int MAX_STATES = 60000;

  private final Supplier<VirtualFleet> fleets;
  private final Map<String, Integer> budget;
  private final Set<Long> visitedStates = new HashSet<>();
  private final List<String> found = new ArrayList<>();

  FleetExplorer(Supplier<VirtualFleet> fleets, Map<String, Integer> budget) {
    this.fleets = fleets;
    this.budget = budget;
  }

  /** Returns the first violated rules, each with the commands that lead to the violation. */
  List<String> explore(String first, List<String> extra) {
    visit(List.of(first), extra);
    return found;
  }

  int visitedStateCount() {
    return visitedStates.size();
  }

  private void visit(List<String> path, List<String> extra) {
    VirtualFleet fleet = fleets.get();
    path.forEach(fleet::apply);
    Map<String, Integer> left = remainingBudget(path);
    if (visitedStates.size() > MAX_STATES
        || found.size() == MAX_VIOLATIONS
        || !visitedStates.add(hash(fleet.fingerprint() + left))) {
      return;
    }
    if (fleet.isSettled()) {
      // Histories only grow, so earlier violations are still found in the settled state.
      fleet.violations().forEach(violation -> found.add(violation + " after " + path));
    }
    List<String> next = new ArrayList<>(fleet.enabled());
    next.addAll(extra);
    for (String command : next) {
      if (left.getOrDefault(budgetName(command), 1) > 0) {
        List<String> longer = new ArrayList<>(path);
        longer.add(command);
        visit(longer, extra);
      }
    }
  }

  private static long hash(String text) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    return hash;
  }

  private Map<String, Integer> remainingBudget(List<String> path) {
    Map<String, Integer> left = new HashMap<>(budget);
    for (String command : path.subList(1, path.size())) {
      left.computeIfPresent(budgetName(command), (name, count) -> count - 1);
    }
    return left;
  }

  /** Returns the name of the budget that a command uses; progress commands have no budget. */
  private static String budgetName(String command) {
    String verb =
        command.substring(0, command.indexOf(' ') < 0 ? command.length() : command.indexOf(' '));
    return switch (verb) {
      case "lose", "refuse", "drop" -> "fault";
      case "shed", "busy" -> "error";
      case "cancel", "fence" -> "cancel";
      default -> verb;
    };
  }
}
