package org.chivecross.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int ENTRIES = 20;

  /**
   * The retries within a window stay within one entry's share of the budget under constant demand.
   */
  @Test
  void retriesStayWithinTheBudget() {
    RetryBudget retryBudget = new RetryBudget(0.2, 75, TimeUnit.SECONDS.toNanos(10));
    int retries = 0;
    for (int i = 0; i < 10_000; i++) {
      long now = i * MILLI;
      if (i % 100 == 0) {
        retryBudget.recordRequest(now);
      }
      retries += retryBudget.tryTake(1.0 / ENTRIES, now) ? 1 : 0;
    }
    double budget = 0.2 * 100 + 75.0 / ENTRIES;
    assertTrue(retries > 0 && retries <= budget, retries + " of " + budget);
  }

  @Test
  void requestsOutsideTheWindowEarnNoRetries() {
    RetryBudget retryBudget = new RetryBudget(0.2, 0, TimeUnit.SECONDS.toNanos(10));
    for (int i = 0; i < 1_000; i++) {
      retryBudget.recordRequest(0);
    }
    assertTrue(retryBudget.tryTake(1, TimeUnit.SECONDS.toNanos(5)));
    assertTrue(!retryBudget.tryTake(1, TimeUnit.SECONDS.toNanos(30)));
  }
}
