package org.chivecross.logic.history;

import java.util.ArrayList;
import java.util.List;
import org.chivecross.model.history.HistoryEvent;
import org.chivecross.model.history.Violation;

/** Checks a history against all rules. Immutable and safe for use by many threads. */
public final class HistoryChecker {

  private static final List<HistoryRule> RULES =
      List.of(
          RequestRules::atMostOnce,
          RequestRules::truthfulOutcome,
          RequestRules::wholeOwnAnswer,
          RequestRules::oneOutcome,
          NodeRules::leaving,
          NodeRules::gracefulStop,
          NodeRules::versionOrder);

  /** Creates a checker of all rules. */
  public HistoryChecker() {}

  /** Returns all violations, by rule. */
  public List<Violation> check(List<HistoryEvent> events) {
    History history = new History(events);
    List<Violation> violations = new ArrayList<>();
    for (HistoryRule rule : RULES) {
      violations.addAll(rule.check(history));
    }
    return violations;
  }
}
