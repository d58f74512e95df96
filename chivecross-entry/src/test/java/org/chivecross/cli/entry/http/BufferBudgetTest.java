package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Load pattern: many callers and targets that read slowly, or nothing at all. */
class BufferBudgetTest {

  private static final int BOUND = 8 << 20;

  private final BufferBudget budget = new BufferBudget(new BufferLimits(BOUND, 1 << 20, 0));
  private final long start = System.nanoTime();

  /** Guards against reads that are refused before uploads, and refusals before the bounds. */
  @Test
  void uploadsAreRefusedBeforeReads() {
    BufferAccount account = budget.open(() -> "a", () -> 0, () -> {});
    account.hold(BOUND * 3 / 4 - 360_000);
    assertTrue(budget.tryAdmit(360_000, 360_000));
    account.hold(1);
    assertFalse(budget.tryAdmit(360_000, 360_000));
    account.hold(BOUND * 3 / 4 + 359_999);
    assertTrue(budget.tryAdmit(0, 0));
    account.hold(1);
    assertFalse(budget.tryAdmit(0, 0));
    assertEquals(2, budget.refusalCount());
    account.close();
    assertEquals(0, budget.heldBytes());
  }

  /** Guards against the end of a connection whose peer reads, or of one that holds less. */
  @Test
  void largestConnectionThatReadNothingForASecondIsEnded() {
    AtomicInteger reading = new AtomicInteger(2 * BOUND);
    budget.open(() -> "reading", reading::get, () -> {});
    budget.open(() -> "small", () -> 1, () -> {});
    BufferAccount stalled = budget.open(() -> "stalled", () -> BOUND, () -> {});
    for (int millis = 0; millis < 1_000; millis += 200) {
      assertEquals(Optional.empty(), tick(millis));
      reading.decrementAndGet();
    }
    assertEquals(Optional.of(stalled), tick(1_200));
  }

  private Optional<BufferAccount> tick(int millis) {
    return budget.tick(start + TimeUnit.MILLISECONDS.toNanos(millis));
  }
}
