package org.chivecross.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int ENTRIES = 20;

  /** Whatever the load does, all entries together stay within the budget in any window. */
  @Test
  void retriesStayWithinTheBudget() {
    RetryBudget allowance = new RetryBudget(0.2, 75, TimeUnit.SECONDS.toNanos(10));
    int repeats = 0;
    for (int i = 0; i < 10_000; i++) {
      long now = i * MILLI;
      if (i % 100 == 0) {
        allowance.recordRequest(now);
      }
      repeats += allowance.tryTake(1.0 / ENTRIES, now) ? 1 : 0;
    }
    double budget = 0.2 * 100 + 75.0 / ENTRIES;
    assertTrue(repeats > 0 && repeats <= budget, repeats + " of " + budget);
  }

  @Test
  void requestsOutsideTheWindowEarnNoRetries() {
    RetryBudget allowance = new RetryBudget(0.2, 0, TimeUnit.SECONDS.toNanos(10));
    for (int i = 0; i < 1_000; i++) {
      allowance.recordRequest(0);
    }
    assertTrue(allowance.tryTake(1, TimeUnit.SECONDS.toNanos(5)));
    assertTrue(!allowance.tryTake(1, TimeUnit.SECONDS.toNanos(30)));
  }
}
