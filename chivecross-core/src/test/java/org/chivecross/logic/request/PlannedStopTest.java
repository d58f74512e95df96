package org.chivecross.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.dispatch.DispatchPreferences;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.registry.TargetAddress;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.ForwardedBy;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;
import org.chivecross.model.ruleset.CallerLimits;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.ServiceRule;
import org.chivecross.model.ruleset.WeightedService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests that callers with stale addresses send to an entry that stops in 5.2 s. */
class PlannedStopTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long ACCEPT_MILLIS = 2_650;
  private static final long STOP_MILLIS = 5_200;
  private static final ResponseHead OK = new ResponseHead(200, false, false, Optional.empty());
  private static final ResponseHead IDLE =
      new ResponseHead(200, false, false, Optional.of(new LoadReport(0, 0, 64)));

  private final SplittableRandom random = new SplittableRandom(3);
  private final Deque<Integer> probes = new ArrayDeque<>();
  private final Dispatcher dispatcher =
      new Dispatcher(
          new DispatchPreferences("a", 20, 10, 1_000, 0.5, 100, 10_000),
          probes::add,
          target -> {},
          random);
  private final DispatchRequestMachines machines =
      new DispatchRequestMachines(dispatcher, (id, event) -> {});
  private long now = MILLI;

  /** Responses by the time at which they are due. */
  private final TreeMap<Long, Runnable> responses = new TreeMap<>();

  @BeforeEach
  void applyRulesAndTargets() {
    List<RouteRule> routes =
        List.of(route(RequestClass.READ), route(RequestClass.WRITE), route(RequestClass.UPLOAD));
    dispatcher.applyRules(
        new RuleSet(
            1, routes, List.of(new ServiceRule("s", "/health", 0)), new CallerLimits(1, 1, 1, 1)));
    dispatcher.applyTargets(
        List.of(
            new RegisteredTarget(
                "t1", 1, "s", TargetAddress.of("10.0.0.1:80"), "a", 64, false, 0, 0),
            new RegisteredTarget(
                "t2", 1, "s", TargetAddress.of("10.0.0.2:80"), "a", 64, false, 0, 0)),
        now);
  }

  private static RouteRule route(RequestClass requestClass) {
    return new RouteRule(
        requestClass.name(),
        "h",
        "/" + requestClass.name() + "/",
        List.of(new WeightedService("s", 1)),
        requestClass,
        4_000,
        2_500,
        2,
        1);
  }

  private static RequestHead head(
      RequestClass requestClass, long deadlineMillis, Optional<ForwardedBy> forwardedBy) {
    return new RequestHead(
        "POST",
        "h",
        "/" + requestClass + "/x",
        Optional.of(deadlineMillis),
        0,
        Optional.empty(),
        false,
        0,
        "id-1",
        forwardedBy);
  }

  private void runUntil(long nanos) {
    while (!responses.isEmpty() && responses.firstKey() <= nanos) {
      now = responses.firstKey();
      responses.pollFirstEntry().getValue().run();
    }
    now = nanos;
  }

  private Decision arrived(RequestMachine machine, RequestHead head) {
    Decision decision = machine.arrived(head, now);
    while (decision instanceof Decision.Await && !probes.isEmpty()) {
      runUntil(now + MILLI);
      while (!probes.isEmpty()) {
        dispatcher.probeEnded(probes.remove(), true, Optional.of(IDLE), now);
      }
      decision = machine.timer(now);
    }
    return decision;
  }

  private Decision arrived(RequestClass requestClass, long deadlineMillis) {
    return arrived(machines.create(() -> {}), head(requestClass, deadlineMillis, Optional.empty()));
  }

  private long planStop() {
    dispatcher.stop().plan(now + ACCEPT_MILLIS * MILLI, now + STOP_MILLIS * MILLI);
    return now;
  }

  /** Sends a request whose work takes 0.3 to 3 s; returns its end, empty if it is refused. */
  private Optional<Long> serve(RequestClass requestClass) {
    RequestMachine machine = machines.create(() -> {});
    Decision decision = arrived(machine, head(requestClass, 6_000, Optional.empty()));
    if (decision instanceof Decision.Answer answer) {
      assertEquals(503, answer.status());
      assertEquals(Outcome.NOT_RUN, answer.outcome());
      assertTrue(answer.retryAfterMillis().orElseThrow() < 100);
      return Optional.empty();
    }
    Decision.Send send = assertInstanceOf(Decision.Send.class, decision);
    assertTrue(machine.sending(send.attempt(), now));
    double millis = Math.max(300, Math.min(3_000, 920 * (1 + 0.3 * random.nextGaussian())));
    long end = now + (long) (millis * MILLI);
    responses.put(
        end,
        () -> {
          machine.responseHead(send.attempt(), OK, now);
          machine.responseEnd(send.attempt(), now);
        });
    return Optional.of(end);
  }

  /** Guards against requests that are sent on late in a planned stop and cut at its end. */
  @ParameterizedTest
  @EnumSource(RequestClass.class)
  void nothingThatIsSentDuringAPlannedStopOutlastsIt(RequestClass requestClass) {
    for (int i = 0; i < 200; i++) {
      serve(requestClass);
      runUntil(now + 20 * MILLI);
    }
    long requested = planStop();
    int served = 0;
    for (int i = 0; i < 250; i++) {
      Optional<Long> end = serve(requestClass);
      served += end.isPresent() ? 1 : 0;
      assertTrue(end.orElse(now) <= requested + STOP_MILLIS * MILLI, "cut at " + i);
      runUntil(now + 20 * MILLI);
    }
    assertTrue(served >= 25, served + " served");
  }

  @Test
  void requestWhoseDeadlineEndsBeforeTheStopIsServed() {
    planStop();
    runUntil(now + 4_000 * MILLI);
    assertInstanceOf(Decision.Answer.class, arrived(RequestClass.WRITE, 1_300));
    assertInstanceOf(Decision.Send.class, arrived(RequestClass.WRITE, 1_000));
  }

  /** Connecting may take until the request can no longer end in time. */
  @Test
  void requestIsNotSentOnAConnectionThatComesTooLate() {
    planStop();
    runUntil(now + 2_000 * MILLI);
    RequestMachine machine = machines.create(() -> {});
    Decision.Send send =
        assertInstanceOf(
            Decision.Send.class,
            arrived(machine, head(RequestClass.WRITE, 6_000, Optional.empty())));
    runUntil(now + 700 * MILLI);
    assertFalse(machine.sending(send.attempt(), now));
    Decision.Answer answer = assertInstanceOf(Decision.Answer.class, machine.timer(now));
    assertEquals(Outcome.NOT_RUN, answer.outcome());
  }

  /** Guards against retries and hedges that are added when they can no longer end in time. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void readGetsNoFurtherAttemptLateInAStop(boolean firstFails) {
    planStop();
    runUntil(now + 2_000 * MILLI);
    RequestMachine machine = machines.create(() -> {});
    Decision.Send send =
        assertInstanceOf(
            Decision.Send.class,
            arrived(machine, head(RequestClass.READ, 6_000, Optional.empty())));
    assertTrue(machine.sending(send.attempt(), now));
    runUntil(now + 700 * MILLI);
    Decision next =
        firstFails
            ? machine.connectionFailed(send.attempt(), ConnectionFault.CLOSED, now)
            : machine.timer(now);
    for (int i = 0; i < 120; i++) {
      assertFalse(next instanceof Decision.Send, "sent again at " + i);
      while (!probes.isEmpty()) {
        dispatcher.probeEnded(probes.remove(), true, Optional.of(IDLE), now);
      }
      runUntil(now + 20 * MILLI);
      next = machine.timer(now);
    }
  }

  /** The entry that forwarded it then tries another one. */
  @Test
  void forwardedRequestIsReturnedToItsEntry() {
    planStop();
    runUntil(now + ACCEPT_MILLIS * MILLI);
    RequestHead head = head(RequestClass.WRITE, 6_000, Optional.of(new ForwardedBy(1, 0)));
    Decision.Answer answer =
        assertInstanceOf(Decision.Answer.class, arrived(machines.create(() -> {}), head));
    assertEquals(421, answer.status());
  }
}
