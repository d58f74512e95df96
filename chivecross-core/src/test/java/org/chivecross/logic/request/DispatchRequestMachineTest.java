package org.chivecross.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.dispatch.DispatchEvent;
import org.chivecross.logic.dispatch.DispatchPreferences;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.registry.TargetAddress;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;
import org.chivecross.model.ruleset.CallerLimits;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.ServiceRule;
import org.chivecross.model.ruleset.WeightedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests one request with a few idle targets whose probes are answered after 1 ms. */
class DispatchRequestMachineTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final ResponseHead OK = new ResponseHead(200, false, false, Optional.empty());
  private static final ResponseHead SHED = new ResponseHead(503, true, false, Optional.empty());
  private static final ResponseHead ERROR = new ResponseHead(500, false, false, Optional.empty());
  private static final ResponseHead IDLE =
      new ResponseHead(200, false, false, Optional.of(new LoadReport(0, 0, 4)));
  private static final ResponseHead LEAVING = new ResponseHead(200, false, true, Optional.empty());
  private static final ResponseHead UNPROVED =
      new ResponseHead(503, false, false, Optional.empty());

  private final Deque<Integer> probes = new ArrayDeque<>();
  private final List<RegisteredTarget> leaving = new ArrayList<>();
  private final List<DispatchEvent> journal = new ArrayList<>();
  private final Dispatcher dispatcher =
      new Dispatcher(
          new DispatchPreferences("a", 20, 10, 1_000, 0.5, 100, 10_000),
          probes::add,
          leaving::add,
          new SplittableRandom(5));
  private final DispatchRequestMachines machines =
      new DispatchRequestMachines(dispatcher, (id, event) -> journal.add(event));
  private long now = MILLI;

  private RequestMachine machine() {
    return machines.create(() -> {});
  }

  private void applyRulesAndTargets(int targets) {
    List<RouteRule> routes = new ArrayList<>();
    for (RequestClass requestClass : RequestClass.values()) {
      routes.add(
          new RouteRule(
              requestClass.name(),
              "h",
              "/" + requestClass.name() + "/",
              List.of(new WeightedService("s", 1)),
              requestClass,
              1_200,
              400,
              2,
              1));
    }
    dispatcher.applyRules(
        new RuleSet(
            1,
            routes,
            List.of(new ServiceRule("s", "/health", 300)),
            new CallerLimits(1, 1, 1, 1)));
    List<RegisteredTarget> registered = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      registered.add(
          new RegisteredTarget(
              "t" + i, 1, "s", TargetAddress.of("10.0.0." + i + ":80"), "a", 4, false, 0, 0));
    }
    dispatcher.applyTargets(registered, now);
  }

  private static RequestHead head(RequestClass requestClass) {
    return new RequestHead(
        "GET",
        "h",
        "/" + requestClass + "/x",
        Optional.of(1_000L),
        0,
        Optional.empty(),
        false,
        0,
        "id-1");
  }

  /** Answers all probes with the load of an idle target and calls the timer of the machine. */
  private Decision answerProbes(RequestMachine machine, Decision first) {
    Decision decision = first;
    while (decision instanceof Decision.Await && !probes.isEmpty()) {
      now += MILLI;
      while (!probes.isEmpty()) {
        dispatcher.probeEnded(probes.remove(), true, Optional.of(IDLE), now);
      }
      decision = machine.timer(now);
    }
    return decision;
  }

  private Decision.Send sent(RequestMachine machine, RequestClass requestClass) {
    Decision.Send send =
        assertInstanceOf(
            Decision.Send.class, answerProbes(machine, machine.arrived(head(requestClass), now)));
    assertTrue(machine.sending(send.attempt(), now));
    return send;
  }

  private static Decision.Answer answer(Decision decision) {
    return assertInstanceOf(Decision.Answer.class, decision);
  }

  @Test
  void entryWithoutConfigurationAnswersUnavailableInsteadOfNotFound() {
    Decision.Answer answer = answer(machine().arrived(head(RequestClass.READ), now));
    assertEquals(503, answer.status());
    assertEquals(Outcome.NOT_RUN, answer.outcome());
    assertTrue(answer.retryAfterMillis().isPresent());
  }

  @Test
  void requestWithoutRouteIsNotFound() {
    applyRulesAndTargets(2);
    RequestHead other =
        new RequestHead("GET", "h", "/none", Optional.empty(), 0, Optional.empty(), false);
    assertEquals(404, answer(machine().arrived(other, now)).status());
  }

  @Test
  void requestForServiceWithoutTargetsIsRefusedAtOnce() {
    applyRulesAndTargets(0);
    Decision.Answer answer = answer(machine().arrived(head(RequestClass.READ), now));
    assertEquals(503, answer.status());
    assertEquals(Outcome.NOT_RUN, answer.outcome());
  }

  @ParameterizedTest
  @EnumSource(RequestClass.class)
  void answerOfTheTargetIsRelayed(RequestClass requestClass) {
    applyRulesAndTargets(3);
    RequestMachine machine = machine();
    Decision.Send send = sent(machine, requestClass);
    assertInstanceOf(Decision.Relay.class, machine.responseHead(send.attempt(), OK, now));
    assertInstanceOf(Decision.Finish.class, machine.responseEnd(send.attempt(), now));
  }

  /** After a connection reset the target may have run the request. */
  @ParameterizedTest
  @EnumSource(
      value = RequestClass.class,
      names = {"WRITE", "UPLOAD"})
  void nonIdempotentRequestIsNotResentWhenItMayHaveRun(RequestClass requestClass) {
    applyRulesAndTargets(3);
    RequestMachine machine = machine();
    Decision.Send send = sent(machine, requestClass);
    Decision.Answer answer =
        answer(machine.connectionFailed(send.attempt(), ConnectionFault.CLOSED, now));
    assertEquals(502, answer.status());
    assertEquals(Outcome.UNKNOWN, answer.outcome());
  }

  @ParameterizedTest
  @EnumSource(RequestClass.class)
  void requestProvedNotRunIsResentToAnotherTarget(RequestClass requestClass) {
    applyRulesAndTargets(3);
    RequestMachine machine = machine();
    Decision.Send first = sent(machine, requestClass);
    Decision decision = answerProbes(machine, machine.responseHead(first.attempt(), SHED, now));
    Decision.Send second = assertInstanceOf(Decision.Send.class, decision);
    assertNotEquals(first.target(), second.target());
  }

  @Test
  void requestIsSentToNoMoreTargetsThanItsRouteAllows() {
    applyRulesAndTargets(4);
    RequestMachine machine = machine();
    Decision.Send first = sent(machine, RequestClass.READ);
    Decision next = answerProbes(machine, machine.responseHead(first.attempt(), SHED, now));
    Decision.Send second = assertInstanceOf(Decision.Send.class, next);
    assertTrue(machine.sending(second.attempt(), now));
    Decision.Answer answer =
        answer(answerProbes(machine, machine.responseHead(second.attempt(), SHED, now)));
    assertEquals(503, answer.status());
    assertEquals(Outcome.NOT_RUN, answer.outcome());
  }

  /** A relayed 503 would promise that the request did not run, which only a proof can show. */
  @ParameterizedTest
  @EnumSource(
      value = RequestClass.class,
      names = {"WRITE", "UPLOAD"})
  void refusalWithoutNotRunProofIsNotRelayed(RequestClass requestClass) {
    applyRulesAndTargets(2);
    RequestMachine machine = machine();
    Decision.Send send = sent(machine, requestClass);
    Decision.Answer answer = answer(machine.responseHead(send.attempt(), UNPROVED, now));
    assertEquals(502, answer.status());
    assertEquals(Outcome.UNKNOWN, answer.outcome());
  }

  /** The statuses 408 and 429 promise the same as 503. */
  @ParameterizedTest
  @ValueSource(ints = {408, 429, 503})
  void noStatusPromisesWithoutProofThatAWriteDidNotRun(int status) {
    applyRulesAndTargets(2);
    RequestMachine machine = machine();
    Decision.Send send = sent(machine, RequestClass.WRITE);
    ResponseHead head = new ResponseHead(status, false, false, Optional.empty());
    assertEquals(502, answer(machine.responseHead(send.attempt(), head, now)).status());
  }

  private int placements(int target, int requests) {
    int count = 0;
    for (int i = 0; i < requests; i++) {
      RequestMachine machine = machine();
      Decision.Send send = sent(machine, RequestClass.READ);
      count += send.target() == target ? 1 : 0;
      machine.responseHead(send.attempt(), OK, now);
      now += 30 * MILLI;
    }
    return count;
  }

  /** Returns whether any of some requests leads to a probe of a target. */
  private boolean isProbed(int target, int requests) {
    boolean probed = false;
    for (int i = 0; i < requests; i++) {
      RequestMachine machine = machine();
      Decision first = machine.arrived(head(RequestClass.READ), now);
      probed |= probes.contains(target);
      Decision.Send send = assertInstanceOf(Decision.Send.class, answerProbes(machine, first));
      machine.sending(send.attempt(), now);
      machine.responseHead(send.attempt(), OK, now);
      now += 30 * MILLI;
    }
    return probed;
  }

  @Test
  void targetThatAnnouncesItsShutdownGetsNoLaterRequest() {
    applyRulesAndTargets(2);
    RequestMachine machine = machine();
    Decision.Send send = sent(machine, RequestClass.WRITE);
    assertInstanceOf(Decision.Relay.class, machine.responseHead(send.attempt(), LEAVING, now));
    assertEquals(1, leaving.size());
    assertEquals(0, placements(send.target(), 30));
  }

  /** The store lists the target as before, for example in a view that is older than the answer. */
  @Test
  void announcedShutdownIsNotUndoneByTheStore() {
    applyRulesAndTargets(2);
    RequestMachine machine = machine();
    Decision.Send send = sent(machine, RequestClass.WRITE);
    machine.responseHead(send.attempt(), LEAVING, now);
    RegisteredTarget left = leaving.get(0);
    applyRulesAndTargets(2);
    assertEquals(0, placements(send.target(), 30));
    dispatcher.applyTargets(List.of(), now);
    applyRulesAndTargets(2);
    assertEquals(0, placements(send.target(), 30));
    RegisteredTarget restarted =
        new RegisteredTarget(left.id(), 2, "s", left.address(), "a", 4, false, 0, 0);
    dispatcher.applyTargets(List.of(restarted), now);
    assertInstanceOf(Decision.Send.class, sent(machine(), RequestClass.READ));
  }

  @Test
  void shutdownAnnouncedInAResponseThatIsNotRelayedCounts() {
    applyRulesAndTargets(2);
    RequestMachine machine = machine();
    Decision.Send send = sent(machine, RequestClass.WRITE);
    machine.announced(send.attempt(), LEAVING, now);
    machine.connectionFailed(send.attempt(), ConnectionFault.MALFORMED, now);
    assertEquals(0, placements(send.target(), 30));
  }

  @Test
  void targetThatAsksForAHoldOffGetsNothingUntilItsEnd() {
    applyRulesAndTargets(2);
    RequestMachine machine = machine();
    Decision.Send send = sent(machine, RequestClass.WRITE);
    ResponseHead holdOff =
        new ResponseHead(
            503, true, false, Optional.empty(), OptionalLong.of(1_500), OptionalLong.empty());
    answerProbes(machine, machine.responseHead(send.attempt(), holdOff, now));
    assertFalse(isProbed(send.target(), 45));
    now += 300 * MILLI;
    assertTrue(isProbed(send.target(), 60), "still held off after its end");
  }

  @Test
  void requestIsRefusedAtOnceWhileAllTargetsAreHeldOff() {
    applyRulesAndTargets(1);
    RequestMachine machine = machine();
    Decision.Send send = sent(machine, RequestClass.READ);
    ResponseHead holdOff =
        new ResponseHead(
            503, true, false, Optional.empty(), OptionalLong.of(900), OptionalLong.empty());
    machine.responseHead(send.attempt(), holdOff, now);
    Decision.Answer answer = answer(machine().arrived(head(RequestClass.READ), now));
    assertEquals(503, answer.status());
    assertEquals(Outcome.NOT_RUN, answer.outcome());
    long retryAfterMillis = answer.retryAfterMillis().orElseThrow();
    assertTrue(retryAfterMillis >= 900 && retryAfterMillis <= 1_000, retryAfterMillis + " ms");
  }

  @Test
  void requestWaitsForAHoldOffThatEndsSoon() {
    applyRulesAndTargets(1);
    RequestMachine machine = machine();
    Decision.Send send = sent(machine, RequestClass.READ);
    ResponseHead holdOff =
        new ResponseHead(
            503, true, false, Optional.empty(), OptionalLong.of(60), OptionalLong.empty());
    machine.responseHead(send.attempt(), holdOff, now);
    RequestMachine next = machine();
    assertInstanceOf(Decision.Await.class, next.arrived(head(RequestClass.READ), now));
    now = next.nextTimerNanos();
    assertInstanceOf(Decision.Send.class, answerProbes(next, next.timer(now)));
  }

  /** A body without end would otherwise hold its connections for good. */
  @Test
  void responseIsCutWhenItsCallerNoLongerWaits() {
    applyRulesAndTargets(2);
    RequestMachine machine = machine();
    long arrived = now;
    Decision.Send send = sent(machine, RequestClass.READ);
    machine.responseHead(send.attempt(), OK, now);
    assertInstanceOf(Decision.Await.class, machine.timer(arrived + 1_100 * MILLI));
    now = machine.nextTimerNanos();
    assertTrue(now > arrived + 1_000 * MILLI && now <= arrived + 2_500 * MILLI);
    assertInstanceOf(Decision.Abort.class, machine.timer(now));
  }

  @Test
  void failedReadIsResentToAnotherTarget() {
    applyRulesAndTargets(3);
    RequestMachine machine = machine();
    Decision.Send first = sent(machine, RequestClass.READ);
    Decision decision = answerProbes(machine, machine.responseHead(first.attempt(), ERROR, now));
    assertInstanceOf(Decision.Send.class, decision);
  }

  /** A slow or silent target delays a read; a hedged request may still be answered in time. */
  @Test
  void overdueReadIsHedgedAndTheFirstAnswerWins() {
    applyRulesAndTargets(3);
    RequestMachine machine = machine();
    Decision.Send first = sent(machine, RequestClass.READ);
    now = machine.nextTimerNanos();
    Decision.Send second =
        assertInstanceOf(Decision.Send.class, answerProbes(machine, machine.timer(now)));
    assertTrue(machine.sending(second.attempt(), now));
    assertInstanceOf(Decision.Relay.class, machine.responseHead(first.attempt(), OK, now));
    assertFalse(machine.sending(second.attempt(), now));
  }

  @ParameterizedTest
  @EnumSource(
      value = RequestClass.class,
      names = {"WRITE", "UPLOAD"})
  void overdueNonIdempotentRequestIsNotHedged(RequestClass requestClass) {
    applyRulesAndTargets(3);
    RequestMachine machine = machine();
    sent(machine, requestClass);
    now = machine.nextTimerNanos();
    Decision.Answer answer = answer(machine.timer(now));
    assertEquals(504, answer.status());
    assertEquals(Outcome.UNKNOWN, answer.outcome());
  }

  @Test
  void requestIsAnsweredAtItsDeadline() {
    applyRulesAndTargets(1);
    RequestMachine machine = machine();
    long arrived = now;
    sent(machine, RequestClass.READ);
    now = arrived + 1_000 * MILLI;
    assertEquals(504, answer(machine.timer(now)).status());
  }

  @Test
  void nothingIsSentAfterTheCallerLeft() {
    applyRulesAndTargets(2);
    RequestMachine machine = machine();
    Decision first = machine.arrived(head(RequestClass.READ), now);
    assertInstanceOf(Decision.Await.class, first);
    machine.cancelled(now);
    assertInstanceOf(Decision.Finish.class, answerProbes(machine, machine.timer(now)));
  }

  @Test
  void eachDecisionIsRecordedWithTheTargetLoad() {
    applyRulesAndTargets(2);
    sent(machine(), RequestClass.READ);
    DispatchEvent.Sent event =
        assertInstanceOf(DispatchEvent.Sent.class, journal.get(journal.size() - 1));
    assertEquals(2, event.usableTargets());
    assertTrue(event.target().reportAgeMillis() >= 0);
  }

  /** The recorded load report and the time at the target show why a caller waited. */
  @Test
  void lateAnswerIsRecordedWithTargetAndTotalTime() {
    applyRulesAndTargets(2);
    RequestMachine machine = machine();
    Decision.Send send = sent(machine, RequestClass.WRITE);
    int eventsBefore = journal.size();
    now += 700 * MILLI;
    machine.responseHead(send.attempt(), OK, now);
    DispatchEvent.AnsweredLate late =
        assertInstanceOf(DispatchEvent.AnsweredLate.class, journal.get(eventsBefore));
    assertEquals(700, late.targetMillis());
    assertTrue(late.totalMillis() >= 700 && late.objectiveMillis() < 700);
  }

  @Test
  void answerInTimeIsNotRecordedAsLate() {
    applyRulesAndTargets(2);
    RequestMachine machine = machine();
    Decision.Send send = sent(machine, RequestClass.WRITE);
    int eventsBefore = journal.size();
    machine.responseHead(send.attempt(), OK, now + MILLI);
    assertEquals(eventsBefore, journal.size());
  }
}
