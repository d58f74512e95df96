package org.chivecross.logic.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.request.DefaultRequestMachines;
import org.chivecross.logic.request.FakePolicies;
import org.chivecross.logic.request.RequestMachine;
import org.chivecross.logic.request.RequestMachines;
import org.chivecross.logic.request.RequestPolicies;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.ResponseHead;
import org.junit.jupiter.api.Test;

/**
 * Checks that the rules of {@link FaultScheduleTest} detect injected defects of the core: each test
 * injects a defect and fails unless the expected rule is violated.
 */
class MutantDetectionTest {

  private static final int SCHEDULES = 1500;

  @Test
  void writeHandledAsRead() {
    assertDetected("at-most-once", setup().withMachines(p -> () -> reclassified(p)));
  }

  @Test
  void notRunReportedWithoutProof() {
    assertDetected("truthful-outcome", mutant(m -> reportsInsteadOfUnknown(m, Outcome.NOT_RUN)));
  }

  @Test
  void expiredReportedWithoutProof() {
    assertDetected("truthful-outcome", mutant(m -> reportsInsteadOfUnknown(m, Outcome.EXPIRED)));
  }

  @Test
  void sendsAfterDeadlineOrCancel() {
    UnaryOperator<RequestMachine> fault =
        inner ->
            new MachineMutant(inner) {
              @Override
              public boolean sending(int attempt, long nowNanos) {
                inner.sending(attempt, nowNanos);
                return true;
              }
            };
    assertDetected("truthful-outcome", mutant(fault));
  }

  @Test
  void lostConnectionTreatedAsNotRunProof() {
    UnaryOperator<RequestMachine> fault =
        inner ->
            new MachineMutant(inner) {
              @Override
              public Decision connectionFailed(int attempt, ConnectionFault fault, long nowNanos) {
                ResponseHead shed = new ResponseHead(503, true, false, Optional.empty());
                return inner.responseHead(attempt, shed, nowNanos);
              }
            };
    assertDetected("at-most-once", mutant(fault));
  }

  @Test
  void truncatedAnswerTreatedAsComplete() {
    assertDetected("whole-own-answer", mutant(MutantDetectionTest::finishInsteadOfAbort));
  }

  @Test
  void answerOfWrongAttemptRelayed() {
    assertDetected("whole-own-answer", mutant(MutantDetectionTest::relaysLatestAttempt));
  }

  @Test
  void finishedKeyRunsAgain() {
    assertDetected("at-most-once", runsInsteadOf(KeyClaim.Finished.class));
  }

  @Test
  void keyInFlightRunsAgain() {
    assertDetected("at-most-once", runsInsteadOf(KeyClaim.InFlight.class));
  }

  @Test
  void foreignKeyRunsHere() {
    assertDetected("at-most-once", runsInsteadOf(KeyClaim.Foreign.class));
  }

  @Test
  void fencedKeyRuns() {
    assertDetected("truthful-outcome", runsInsteadOf(KeyClaim.Fenced.class));
  }

  @Test
  void outOfWindowKeyRuns() {
    List<String> session =
        List.of(
            "call r1 write at e0 key e0/k",
            "connect r1/0",
            "run r1/0",
            "lose r1/0",
            "pause 61000",
            "call r2 write at e0 key e0/k",
            "connect r2/0",
            "run r2/0",
            "reply r2/0",
            "end r2/0");
    UnaryOperator<KeyRegistry> fault =
        keys ->
            new KeyMutant(
                new KeyMutant(keys, KeyClaim.Finished.class), KeyClaim.OutsideWindow.class);
    VirtualFleet fleet = new VirtualFleet(FleetSetup.of(1).withKeys(fault));
    session.forEach(fleet::apply);
    assertEquals(1, fleet.violations().size(), fleet.violations().toString());
  }

  @Test
  void admissionReleasedTwice() {
    assertDetected("balance", setup().withMachines(p -> () -> releasingTwice(p)));
  }

  @Test
  void requestLeftWithoutOutcome() {
    assertDetected("not settled", mutant(MutantDetectionTest::neverAnswers));
  }

  @Test
  void requestStalledWithoutTimer() {
    assertDetected("stalled", mutant(MutantDetectionTest::neverAnswers));
  }

  @Test
  void refusalWithoutRetryAfter() {
    UnaryOperator<RequestMachine> fault =
        inner ->
            new MachineMutant(inner) {
              @Override
              Decision mutate(Decision decision) {
                return decision instanceof Decision.Answer answer
                    ? new Decision.Answer(
                        answer.status(), answer.outcome(), answer.failure(), OptionalLong.empty())
                    : decision;
              }
            };
    assertDetected("retry-after missing", mutant(fault));
  }

  private static RequestMachine reclassified(RequestPolicies policies) {
    RequestPolicies reclassifying =
        new RequestPolicies(
            (method, host, path) ->
                policies
                    .router()
                    .route(method, host, path)
                    .map(r -> new Route(r.service(), RequestClass.READ, r.deadlineMillis())),
            policies.admission(),
            policies.selector(),
            policies.observer(),
            policies.retries(),
            policies.keys());
    return new DefaultRequestMachines(reclassifying).create();
  }

  private static RequestMachine reportsInsteadOfUnknown(RequestMachine inner, Outcome reported) {
    return new MachineMutant(inner) {
      @Override
      Decision mutate(Decision decision) {
        if (decision instanceof Decision.Answer answer && answer.outcome() == Outcome.UNKNOWN) {
          return new Decision.Answer(503, reported, answer.failure(), OptionalLong.empty());
        }
        return decision;
      }
    };
  }

  private static RequestMachine finishInsteadOfAbort(RequestMachine inner) {
    return new MachineMutant(inner) {
      @Override
      Decision mutate(Decision decision) {
        return decision instanceof Decision.Abort ? new Decision.Finish() : decision;
      }
    };
  }

  private static RequestMachine relaysLatestAttempt(RequestMachine inner) {
    return new MachineMutant(inner) {
      private int latest;

      @Override
      Decision mutate(Decision decision) {
        if (decision instanceof Decision.Send send) {
          latest = send.attempt();
        }
        return decision instanceof Decision.Relay ? new Decision.Relay(latest) : decision;
      }

      @Override
      public Decision responseEnd(int attempt, long nowNanos) {
        return new Decision.Finish();
      }
    };
  }

  private static RequestMachine neverAnswers(RequestMachine inner) {
    return new MachineMutant(inner) {
      @Override
      Decision mutate(Decision decision) {
        return decision instanceof Decision.Answer ? new Decision.Await(0) : decision;
      }
    };
  }

  private static RequestMachine releasingTwice(RequestPolicies policies) {
    return new MachineMutant(new DefaultRequestMachines(policies).create()) {
      @Override
      public Decision responseEnd(int attempt, long nowNanos) {
        policies.admission().release(0, RequestClass.READ, nowNanos);
        return super.responseEnd(attempt, nowNanos);
      }
    };
  }

  private static FleetSetup runsInsteadOf(Class<? extends KeyClaim> claim) {
    return setup().withKeys(keys -> new KeyMutant(keys, claim));
  }

  private static FleetSetup mutant(UnaryOperator<RequestMachine> fault) {
    Function<RequestPolicies, RequestMachines> machines =
        policies -> () -> fault.apply(new DefaultRequestMachines(policies).create());
    return setup().withMachines(machines);
  }

  private static FleetSetup setup() {
    return FleetSetup.of(3)
        .withPolicies(
            index -> {
              FakePolicies fakes = new FakePolicies();
              fakes.hedgeDelayNanos = 10_000_000;
              return fakes.policies();
            });
  }

  private static void assertDetected(String rule, FleetSetup setup) {
    for (long seed = 0; seed < SCHEDULES; seed++) {
      List<String> found = new FaultSchedule(seed, setup).run();
      if (found.stream().anyMatch(violation -> violation.startsWith(rule))) {
        System.out.println("MutantDetectionTest: " + rule + " violated at seed " + seed);
        return;
      }
    }
    assertTrue(false, "no schedule violates " + rule);
  }
}
