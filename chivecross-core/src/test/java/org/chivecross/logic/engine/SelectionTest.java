package org.chivecross.logic.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.balance.UpstreamObserver;
import org.chivecross.logic.probe.Probe;
import org.chivecross.logic.request.RequestPolicies;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.LoadReport;
import org.junit.jupiter.api.Test;

/** Selection of targets while targets fail, leave, join or send wrong load reports. */
class SelectionTest {

  private static final int TARGETS = 8;
  private static final int SLOTS = 4;
  private static final long MILLI = EngineFixture.MILLI;

  private final BalancerEngine engine =
      EngineFixture.engine(
          EngineFixture.singleService(TARGETS, SLOTS, 1, EngineFixture.HIGH_LIMITS));
  private final RequestPolicies policies = engine.policies(NoKeys.INSTANCE);
  private final UpstreamObserver observer = policies.observer();
  private final int service = engine.serviceRow("board").orElseThrow();
  private long now = EngineFixture.SECOND;

  private int select() {
    return policies.selector().select(service, RequestClass.READ, TargetSelector.NONE, now);
  }

  /** Sends a request and returns its target; an attempt on {@code failingTarget} fails at once. */
  private int request(int failingTarget) {
    int target = select();
    observer.attemptStarted(target, now);
    now += MILLI;
    boolean isServed = target != failingTarget;
    observer.loadReported(target, new LoadReport(isServed ? 2 : 0, 0, SLOTS), now);
    observer.attemptEnded(target, isServed ? 5 * MILLI : MILLI, isServed, now);
    engine.tick(now);
    return target;
  }

  private int firstTarget() {
    return engine.targetStatuses(now).get(0).row();
  }

  @Test
  void targetThatFailsFastGetsFewRequests() {
    int failing = firstTarget();
    int sent = 0;
    for (int i = 0; i < 1_000; i++) {
      if (request(failing) == failing) {
        sent++;
      }
    }
    assertTrue(sent <= 5, "requests to the failing target in 1 s: " + sent);
  }

  @Test
  void leavingTargetGetsNoNewWorkAndItsStatusNamesTheReason() {
    int leaving = firstTarget();
    observer.leavingReported(leaving, now);
    engine.tick(now);
    for (int i = 0; i < 500; i++) {
      assertNotEquals(leaving, request(TargetSelector.NONE));
    }
    TargetStatus status = engine.targetStatuses(now).get(0);
    assertEquals(0, status.weight());
    assertTrue(status.reasons().get(0).startsWith("leaving: answer header"));
  }

  @Test
  void leavingMarkIsSentToOtherEntriesAndClearedOnlyByProbe() {
    BalancerEngine other =
        EngineFixture.engine(
            EngineFixture.singleService(TARGETS, SLOTS, 1, EngineFixture.HIGH_LIMITS));
    int leaving = firstTarget();
    observer.leavingReported(leaving, now);
    List<LeavingMark> marks = engine.leavingMarks(now + 20 * MILLI);
    assertEquals(20, marks.get(0).ageMillis());
    other.mergeLeavingMarks(marks, now);
    other.tick(now);
    assertEquals(0, other.targetStatuses(now).get(0).weight());

    now += 60 * EngineFixture.SECOND;
    engine.tick(now);
    assertEquals(0, engine.targetStatuses(now).get(0).weight(), "marks do not expire by age");
    List<Probe> probes = engine.takeProbes(now);
    assertTrue(probes.stream().anyMatch(probe -> probe.target() == leaving));
    HealthReport healthy = new HealthReport(false, Optional.empty());
    engine.probeEnded(leaving, Optional.of(healthy), now, 300, now + MILLI);
    engine.tick(now + MILLI);
    assertEquals(1, engine.targetStatuses(now).get(0).weight());
    assertTrue(engine.probeCost(now).spentMillis() <= engine.probeCost(now).allowedMillis());
  }

  @Test
  void targetThatRefusesConnectionsIsExcludedUnlessMostRefuse() {
    refuse(firstTarget());
    assertEquals(0, engine.targetStatuses(now).get(0).weight());
    engine.targetStatuses(now).forEach(target -> refuse(target.row()));
    assertTrue(
        engine.targetStatuses(now).stream().filter(target -> target.weight() > 0).count() >= 4);
    assertNotEquals(TargetSelector.NONE, select());
  }

  private void refuse(int target) {
    for (int i = 0; i < 3; i++) {
      now += MILLI;
      observer.connectionFailed(target, ConnectionFault.REFUSED, now);
    }
    now += MILLI;
    engine.tick(now);
  }

  @Test
  void targetOfLeavingVmIsExcludedUntilListedAsAlive() {
    String address = engine.address(firstTarget());
    String ip = address.substring(0, address.indexOf(':'));
    engine.vmListed(ip, true, now);
    engine.tick(now);
    assertEquals(0, engine.targetStatuses(now).get(0).weight());
    engine.vmListed(ip, false, now + 1);
    engine.tick(now + 1);
    assertEquals(1, engine.targetStatuses(now).get(0).weight());
  }

  @Test
  void targetThatJoinsRunningServiceGetsSlowStart() {
    engine.apply(
        EngineFixture.singleService(TARGETS + 1, SLOTS, 1, EngineFixture.HIGH_LIMITS), now);
    TargetStatus joined = engine.targetStatuses(now).get(TARGETS);
    assertEquals(0.1, joined.weight(), 1e-9);
    assertTrue(joined.reasons().get(0).startsWith("ramping up"));
    now += 10 * EngineFixture.SECOND;
    assertEquals(1, engine.targetStatuses(now).get(TARGETS).weight());
  }

  @Test
  void reportsContradictedByLatencyLoseTheirWeight() {
    int wrongReporter = firstTarget();
    int sent = 0;
    for (int i = 0; i < 2_000; i++) {
      int target = select();
      observer.attemptStarted(target, now);
      now += MILLI;
      boolean isWrongReporter = target == wrongReporter;
      observer.loadReported(target, new LoadReport(isWrongReporter ? 0 : 3, 0, SLOTS), now);
      observer.attemptEnded(target, (isWrongReporter ? 50 : 5) * MILLI, true, now);
      engine.tick(now);
      sent += isWrongReporter && i >= 1_000 ? 1 : 0;
    }
    assertTrue(sent <= 1_000 / TARGETS, "requests to the target with wrong reports: " + sent);
  }
}
