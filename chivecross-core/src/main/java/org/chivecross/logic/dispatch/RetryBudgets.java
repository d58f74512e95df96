package org.chivecross.logic.dispatch;

import java.util.HashMap;
import java.util.Map;

/** This entry's retry budgets, one for each service. Not thread-safe. */
final class RetryBudgets {

  private final DispatchPreferences preferences;
  private final Map<String, RetryBudget> budgets = new HashMap<>();

  RetryBudgets(DispatchPreferences preferences) {
    this.preferences = preferences;
  }

  /** Returns the budget of a service; unused when it is asked for the first time. */
  RetryBudget ofService(String service) {
    return budgets.computeIfAbsent(
        service,
        name ->
            new RetryBudget(
                preferences.retryBudgetRatio(),
                preferences.retryBudgetFixed(),
                preferences.retryBudgetWindowNanos()));
  }
}
