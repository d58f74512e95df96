package org.chivecross.logic.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.limit.AdmissionControl.Verdict;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Limits;
import org.chivecross.model.fileset.RequestClass;
import org.junit.jupiter.api.Test;

class BalancerEngineTest {

  private static final long DEADLINE = EngineFixture.SECOND;

  @Test
  void countersOfTargetsThatStayAreKeptAcrossFileSets() {
    BalancerEngine engine =
        EngineFixture.engine(EngineFixture.singleService(3, 4, 1, EngineFixture.HIGH_LIMITS));
    var observer = engine.policies(NoKeys.INSTANCE).observer();
    FileSet two = EngineFixture.singleService(2, 4, 1, EngineFixture.HIGH_LIMITS);
    String kept = two.services().get(0).targets().get(0).addresses().get(0);
    int row = engine.targetRow(kept);
    observer.attemptStarted(row, 0);
    observer.attemptEnded(row, EngineFixture.MILLI, true, 0);
    observer.attemptStarted(row, 0);

    engine.apply(two, 1);

    assertEquals(row, engine.targetRow(kept));
    TargetStatus status =
        engine.targetStatuses(1).stream()
            .filter(target -> target.row() == row)
            .findFirst()
            .orElseThrow();
    assertEquals(1, status.inFlight());
    assertEquals(1, status.successes());
  }

  @Test
  void rowOfRemovedTargetIsNotReusedWhileAnAttemptIsInFlight() {
    BalancerEngine engine =
        EngineFixture.engine(EngineFixture.singleService(1, 4, 1, EngineFixture.HIGH_LIMITS));
    var observer = engine.policies(NoKeys.INSTANCE).observer();
    int row = select(engine, "board");
    observer.attemptStarted(row, 0);
    FileSet other =
        EngineFixture.set(
            1, List.of(EngineFixture.service("ledger", "team", 1, 4, EngineFixture.HIGH_LIMITS)));
    engine.apply(other, 1);
    engine.tick(2 * RowCollector.RELEASE_DELAY_NANOS);
    assertNotEquals(row, select(engine, "ledger"));
    observer.attemptEnded(row, 1, true, 2);
  }

  @Test
  void serviceWithoutTargetsSelectsNone() {
    BalancerEngine engine =
        EngineFixture.engine(EngineFixture.singleService(0, 4, 1, EngineFixture.HIGH_LIMITS));
    assertEquals(TargetSelector.NONE, select(engine, "board"));
  }

  @Test
  void requestBeyondConcurrencyShareIsRefusedUntilOneIsReleased() {
    var admission =
        EngineFixture.engine(EngineFixture.singleService(2, 4, 2, new Limits(4, 1_000_000, 1_000)))
            .policies(NoKeys.INSTANCE)
            .admission();
    assertEquals(Verdict.ADMITTED, admission.admit(0, RequestClass.READ, DEADLINE, 0));
    assertEquals(Verdict.ADMITTED, admission.admit(0, RequestClass.READ, DEADLINE, 0));
    assertEquals(Verdict.LIMITED, admission.admit(0, RequestClass.READ, DEADLINE, 0));
    admission.release(0, RequestClass.READ, 0);
    assertEquals(Verdict.ADMITTED, admission.admit(0, RequestClass.READ, DEADLINE, 0));
    assertTrue(admission.retryAfterMillis(0, RequestClass.READ, 0) >= 1);
  }

  private static int select(BalancerEngine engine, String service) {
    int row = engine.serviceRow(service).orElseThrow();
    return engine
        .policies(NoKeys.INSTANCE)
        .selector()
        .select(row, RequestClass.READ, TargetSelector.NONE, 0);
  }
}
