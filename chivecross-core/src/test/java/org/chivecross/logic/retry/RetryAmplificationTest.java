package org.chivecross.logic.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.chivecross.logic.balance.SharedRandom;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.table.LatencyTable;
import org.junit.jupiter.api.Test;

class RetryAmplificationTest {

  private static final int LAYERS = 19;
  private static final int CALLS = 20_000;
  private static final double FAILURE_PROBABILITY = 0.3;
  private static final RequestClass READ = RequestClass.READ;

  private static BudgetedRetryControl control(int services) {
    SharedRandom random = new SharedRandom(1);
    LatencySystem latencies = new LatencySystem(new LatencyTable(services), services);
    BudgetedRetryControl control =
        new BudgetedRetryControl(services, random, latencies, target -> 0);
    ClassPolicy[] policies = new ClassPolicy[services * RequestClass.values().length];
    for (int s = 0; s < services; s++) {
      policies[BudgetedRetryControl.cell(s, READ)] = new ClassPolicy(1000, 0.1, 0.02);
    }
    control.apply(policies);
    return control;
  }

  /**
   * Layers of calls: the lowest layer fails 30 % of them, and every layer retries as much as it
   * may.
   */
  private static final class Chain {
    private final BudgetedRetryControl retries = control(LAYERS);
    private final SplittableRandom random = new SplittableRandom(5);
    private final boolean shedding;
    private final boolean sameCallFailsAgain;
    private boolean doomed;
    private int sendsToLowest;

    Chain(boolean shedding, boolean sameCallFailsAgain) {
      this.shedding = shedding;
      this.sameCallFailsAgain = sameCallFailsAgain;
    }

    double amplification() {
      for (int i = 0; i < CALLS; i++) {
        doomed = random.nextDouble() < FAILURE_PROBABILITY;
        call(0);
      }
      return (double) sendsToLowest / CALLS;
    }

    /** Returns whether the call at a layer succeeded. */
    private boolean call(int layer) {
      while (!send(layer)) {
        boolean proved = shedding && layer == LAYERS - 1;
        if (!proved && !retries.mayRetryErrorAnswer(layer, READ, layer, 0)) {
          return false;
        }
        if (!retries.tryRetry(layer, READ, layer, 0)) {
          return false;
        }
      }
      retries.succeeded(layer, READ, 0);
      return true;
    }

    private boolean send(int layer) {
      if (layer < LAYERS - 1) {
        return call(layer + 1);
      }
      sendsToLowest++;
      return sameCallFailsAgain ? !doomed : random.nextDouble() >= FAILURE_PROBABILITY;
    }
  }

  @Test
  void lowestLayerReceivesAtMostOneFifthMoreRequests() {
    for (boolean shedding : new boolean[] {false, true}) {
      for (boolean failsAgain : new boolean[] {false, true}) {
        double amplification = new Chain(shedding, failsAgain).amplification();
        assertTrue(
            amplification > 1.01 && amplification <= 1.2,
            "shedding " + shedding + ", fails again " + failsAgain + ": " + amplification);
      }
    }
  }

  @Test
  void failuresEarnNoRetries() {
    BudgetedRetryControl control = control(1);
    assertFalse(control.tryRetry(0, READ, 0, 0));
    for (int i = 0; i < 1_000; i++) {
      control.succeeded(0, READ, 0);
    }
    int retries = 0;
    while (control.tryRetry(0, READ, 0, 0)) {
      retries++;
    }
    assertEquals(BudgetedRetryControl.RETRY_BUCKET, retries);
  }

  @Test
  void onlyExternalCallsAreHedged() {
    BudgetedRetryControl control = control(1);
    for (int i = 0; i < 1_000; i++) {
      control.succeeded(0, READ, 0);
    }
    assertFalse(control.tryHedge(0, READ, 1, 0));
    assertTrue(control.tryHedge(0, READ, 0, 0));
  }

  @Test
  void readsAreHedgedAfterHighQuantileAndWritesNever() {
    LatencyTable table = new LatencyTable(1);
    LatencySystem system = new LatencySystem(table, 1);
    for (int i = 0; i < 1_000; i++) {
      table.record(0, i < 985 ? 5_000_000 : 80_000_000);
    }
    for (int i = 0; i < 50; i++) {
      system.tick(new int[] {0}, new double[] {0.02});
    }
    long delay = system.hedgeDelayNanos(0);
    assertTrue(delay >= 5_000_000 && delay < 10_000_000, "delay: " + delay);
    BudgetedRetryControl control =
        new BudgetedRetryControl(1, new SharedRandom(1), system, target -> 0);
    assertEquals(RetryControl.NO_HEDGE, control.hedgeDelayNanos(0, RequestClass.WRITE));
    assertEquals(delay, control.hedgeDelayNanos(0, READ));
  }
}
