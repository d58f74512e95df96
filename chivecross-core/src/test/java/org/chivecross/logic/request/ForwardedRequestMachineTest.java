package org.chivecross.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.dispatch.DispatchPorts;
import org.chivecross.logic.dispatch.DispatchPreferences;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.dispatch.ForwardingPort;
import org.chivecross.logic.dispatch.RequestForwarding;
import org.chivecross.logic.dispatch.RequestLimitPort;
import org.chivecross.logic.dispatch.SuspectRequestPort;
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

/** Tests requests of an entry that reaches no target while two other entries do. */
class ForwardedRequestMachineTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long RULES_VERSION = 11;
  private static final ResponseHead OK = new ResponseHead(200, false, false, Optional.empty());
  private static final ResponseHead IDLE =
      new ResponseHead(200, false, false, Optional.of(new LoadReport(0, 0, 4)));
  private static final ResponseHead MISDIRECTED =
      new ResponseHead(421, true, false, Optional.empty());
  private static final ResponseHead REFUSAL =
      new ResponseHead(
          503, true, false, Optional.empty(), OptionalLong.of(123), OptionalLong.empty());

  private final Deque<Integer> probes = new ArrayDeque<>();
  private final List<Boolean> isolationChanges = new ArrayList<>();
  private List<String> entries = List.of("10.0.1.1", "10.0.1.2");
  private final Dispatcher dispatcher =
      new Dispatcher(
          new DispatchPreferences("a", 20, 10, 1_000, 0.5, 100, 10_000),
          new DispatchPorts(
              probes::add,
              target -> {},
              new FakePort(),
              RequestLimitPort.NONE,
              SuspectRequestPort.NONE),
          new SplittableRandom(5));
  private final DispatchRequestMachines machines =
      new DispatchRequestMachines(dispatcher, (id, event) -> {});
  private long now = 10_000 * MILLI;

  @BeforeEach
  void applyRulesAndTargets() {
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
            RULES_VERSION,
            routes,
            List.of(new ServiceRule("s", "/health", 300)),
            new CallerLimits(1, 1, 1, 1)));
    List<RegisteredTarget> registered = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      registered.add(
          new RegisteredTarget(
              "t" + i, 1, "s", TargetAddress.of("10.0.0." + i + ":80"), "a", 4, false, 0, 0));
    }
    dispatcher.applyTargets(registered, now);
  }

  private static RequestHead head(RequestClass requestClass, Optional<ForwardedBy> forwardedBy) {
    return new RequestHead(
        "GET",
        "h",
        "/" + requestClass + "/x",
        Optional.of(1_000L),
        0,
        Optional.empty(),
        false,
        0,
        "id-1",
        forwardedBy);
  }

  private Decision arrive(RequestMachine machine, RequestClass requestClass) {
    return machine.arrived(head(requestClass, Optional.empty()), now);
  }

  /** Lets probes fail until the entry is isolated. */
  private void isolate() {
    RequestMachine machine = machines.create(() -> {});
    Decision decision = arrive(machine, RequestClass.READ);
    while (decision instanceof Decision.Await && !dispatcher.forwarding().isIsolated()) {
      now += Dispatcher.probeTimeoutMillis() * MILLI;
      failProbes();
      decision = machine.timer(now);
    }
    machine.cancelled(now);
    assertTrue(dispatcher.forwarding().isIsolated());
  }

  private void failProbes() {
    while (!probes.isEmpty()) {
      dispatcher.probeEnded(probes.remove(), false, Optional.empty(), now);
    }
  }

  private Decision.Send forwarded(RequestMachine machine, Decision decision) {
    Decision.Send send = assertInstanceOf(Decision.Send.class, decision);
    assertTrue(RequestForwarding.isEntry(send.target()));
    assertTrue(machine.sending(send.attempt(), now));
    return send;
  }

  @ParameterizedTest
  @EnumSource(RequestClass.class)
  void isolatedEntryForwardsRequestsAtOnce(RequestClass requestClass) {
    isolate();
    RequestMachine machine = machines.create(() -> {});
    Decision.Send send = forwarded(machine, arrive(machine, requestClass));
    assertTrue(entries.contains(dispatcher.forwarding().ip(send.target()).orElseThrow()));
    assertInstanceOf(Decision.Relay.class, machine.responseHead(send.attempt(), OK, now));
    assertEquals(List.of(true), isolationChanges);
  }

  @Test
  void requestThatWaitsForAProbeIsForwardedOnceTheEntryIsIsolated() {
    RequestMachine machine = machines.create(() -> {});
    Decision decision = arrive(machine, RequestClass.WRITE);
    int rounds = 0;
    while (decision instanceof Decision.Await) {
      now += Dispatcher.probeTimeoutMillis() * MILLI;
      failProbes();
      decision = machine.timer(now);
      rounds++;
    }
    forwarded(machine, decision);
    assertTrue(rounds <= 3, rounds + " probe rounds");
  }

  @Test
  void withoutOtherEntriesRequestsAreRefusedAsBefore() {
    entries = List.of();
    isolate();
    RequestMachine machine = machines.create(() -> {});
    Decision decision = arrive(machine, RequestClass.WRITE);
    while (decision instanceof Decision.Await) {
      now += Dispatcher.probeTimeoutMillis() * MILLI;
      failProbes();
      decision = machine.timer(now);
    }
    Decision.Answer answer = assertInstanceOf(Decision.Answer.class, decision);
    assertEquals(503, answer.status());
    assertEquals(Outcome.NOT_RUN, answer.outcome());
  }

  /** Two isolated entries would otherwise pass a request back and forth. */
  @Test
  void forwardedRequestIsTurnedAwayAndNotForwardedAgain() {
    isolate();
    RequestMachine machine = machines.create(() -> {});
    Decision decision =
        machine.arrived(
            head(RequestClass.READ, Optional.of(new ForwardedBy(RULES_VERSION, 0))), now);
    Decision.Answer answer = assertInstanceOf(Decision.Answer.class, decision);
    assertEquals(421, answer.status());
    assertEquals(Outcome.NOT_RUN, answer.outcome());
  }

  @Test
  void waitingForwardedRequestIsTurnedAwayOnceThisEntryIsIsolatedToo() {
    RequestMachine machine = machines.create(() -> {});
    Decision decision =
        machine.arrived(
            head(RequestClass.WRITE, Optional.of(new ForwardedBy(RULES_VERSION, 0))), now);
    while (decision instanceof Decision.Await) {
      now += Dispatcher.probeTimeoutMillis() * MILLI;
      failProbes();
      decision = machine.timer(now);
    }
    assertEquals(421, assertInstanceOf(Decision.Answer.class, decision).status());
  }

  /** Otherwise callers of one entry would see newer rules first and older ones after that. */
  @Test
  void forwardedRequestIsTurnedAwayWhereTheRulesAreOlder() {
    RequestMachine machine = machines.create(() -> {});
    Decision decision =
        machine.arrived(
            head(RequestClass.READ, Optional.of(new ForwardedBy(RULES_VERSION + 1, 0))), now);
    assertEquals(421, assertInstanceOf(Decision.Answer.class, decision).status());
  }

  @Test
  void writeTurnedAwayByAnEntryGoesToTheNextOne() {
    isolate();
    RequestMachine machine = machines.create(() -> {});
    Decision.Send first = forwarded(machine, arrive(machine, RequestClass.WRITE));
    Decision next = machine.responseHead(first.attempt(), MISDIRECTED, now);
    Decision.Send second = forwarded(machine, next);
    assertNotEquals(first.target(), second.target());
    Decision end = machine.responseHead(second.attempt(), MISDIRECTED, now);
    while (end instanceof Decision.Await) {
      now += Dispatcher.probeTimeoutMillis() * MILLI;
      failProbes();
      end = machine.timer(now);
    }
    Decision.Answer answer = assertInstanceOf(Decision.Answer.class, end);
    assertEquals(503, answer.status());
    assertEquals(Outcome.NOT_RUN, answer.outcome());
  }

  @Test
  void refusalByAnEntryReachesTheCallerWithItsDelay() {
    isolate();
    RequestMachine machine = machines.create(() -> {});
    Decision.Send send = forwarded(machine, arrive(machine, RequestClass.WRITE));
    Decision.Answer answer =
        assertInstanceOf(Decision.Answer.class, machine.responseHead(send.attempt(), REFUSAL, now));
    assertEquals(503, answer.status());
    assertEquals(Outcome.NOT_RUN, answer.outcome());
    assertEquals(OptionalLong.of(123), answer.retryAfterMillis());
  }

  @Test
  void writeWhoseEntryIsLostIsNotSentAgain() {
    isolate();
    RequestMachine machine = machines.create(() -> {});
    Decision.Send send = forwarded(machine, arrive(machine, RequestClass.WRITE));
    Decision.Answer answer =
        assertInstanceOf(
            Decision.Answer.class,
            machine.connectionFailed(send.attempt(), ConnectionFault.CLOSED, now));
    assertEquals(502, answer.status());
    assertEquals(Outcome.UNKNOWN, answer.outcome());
  }

  @Test
  void requestWhoseEntryCanNotBeConnectedGoesToTheNextOne() {
    isolate();
    RequestMachine machine = machines.create(() -> {});
    Decision.Send send = assertInstanceOf(Decision.Send.class, arrive(machine, RequestClass.WRITE));
    Decision next = machine.connectionFailed(send.attempt(), ConnectionFault.REFUSED, now);
    assertNotEquals(send.target(), forwarded(machine, next).target());
  }

  /** Kept connections may live on while new ones are refused. */
  @ParameterizedTest
  @EnumSource(names = {"REFUSED", "CONNECT_TIMEOUT"})
  void requestIsForwardedAfterTwoFailedConnects(ConnectionFault fault) {
    RequestMachine machine = machines.create(() -> {});
    forwarded(machine, afterTwoFailures(machine, fault));
  }

  /** All entries share the connections that a target accepts, so others would gain nothing. */
  @Test
  void requestIsNotForwardedWhereThisEntryHasItsShareOfConnections() {
    RequestMachine machine = machines.create(() -> {});
    Decision decision = afterTwoFailures(machine, ConnectionFault.LIMITED);
    assertFalse(decision instanceof Decision.Send send && RequestForwarding.isEntry(send.target()));
    assertFalse(dispatcher.forwarding().isIsolated());
  }

  private Decision afterTwoFailures(RequestMachine machine, ConnectionFault fault) {
    Decision decision = arrive(machine, RequestClass.WRITE);
    for (int i = 0; i < 2; i++) {
      while (decision instanceof Decision.Await) {
        now += MILLI;
        while (!probes.isEmpty()) {
          dispatcher.probeEnded(probes.remove(), true, Optional.of(IDLE), now);
        }
        decision = machine.timer(now);
      }
      Decision.Send send = assertInstanceOf(Decision.Send.class, decision);
      assertFalse(RequestForwarding.isEntry(send.target()));
      decision = machine.connectionFailed(send.attempt(), fault, now);
    }
    return decision;
  }

  @Test
  void entryProbesWhileIsolatedAndReturnsToItsTargetsGradually() {
    isolate();
    probes.clear();
    for (int i = 0; i < 200 && dispatcher.forwarding().isIsolated(); i++) {
      now = Math.max(now, dispatcher.forwarding().nextTickNanos());
      dispatcher.forwarding().tick(now);
      while (!probes.isEmpty()) {
        dispatcher.probeEnded(probes.remove(), true, Optional.of(IDLE), now);
      }
    }
    assertEquals(List.of(true, false), isolationChanges);
    assertTrue(forwardedOf100(now + 300 * MILLI) > 50);
    assertTrue(forwardedOf100(now + 800 * MILLI) < 50);
    assertEquals(0, forwardedOf100(now + 1_100 * MILLI));
  }

  private int forwardedOf100(long at) {
    now = at;
    int count = 0;
    for (int i = 0; i < 100; i++) {
      RequestMachine machine = machines.create(() -> {});
      Decision decision = arrive(machine, RequestClass.READ);
      count +=
          decision instanceof Decision.Send send && RequestForwarding.isEntry(send.target())
              ? 1
              : 0;
      machine.cancelled(now);
    }
    return count;
  }

  /** Both entries together must not send a request to more targets than its route allows. */
  @Test
  void attemptsOfTheForwardingEntryCountAtTheNextOne() {
    RequestMachine machine = machines.create(() -> {});
    ForwardedBy once = new ForwardedBy(RULES_VERSION, 1);
    Decision decision = machine.arrived(head(RequestClass.READ, Optional.of(once)), now);
    while (decision instanceof Decision.Await) {
      now += MILLI;
      while (!probes.isEmpty()) {
        dispatcher.probeEnded(probes.remove(), true, Optional.of(IDLE), now);
      }
      decision = machine.timer(now);
    }
    Decision.Send send = assertInstanceOf(Decision.Send.class, decision);
    assertTrue(machine.sending(send.attempt(), now));
    assertInstanceOf(
        Decision.Answer.class,
        machine.connectionFailed(send.attempt(), ConnectionFault.CLOSED, now));
  }

  @Test
  void forwardedReadIsHedgedByTheOtherEntryOnly() {
    isolate();
    RequestMachine machine = machines.create(() -> {});
    forwarded(machine, arrive(machine, RequestClass.READ));
    now += 999 * MILLI;
    assertInstanceOf(Decision.Await.class, machine.timer(now));
  }

  /** A request that takes too long says nothing about the entry that has it. */
  @Test
  void requestThatTimesOutDoesNotKeepOthersFromItsEntry() {
    entries = List.of("10.0.1.1");
    isolate();
    RequestMachine slow = machines.create(() -> {});
    Decision.Send send = forwarded(slow, arrive(slow, RequestClass.WRITE));
    now += 1_000 * MILLI;
    assertEquals(504, assertInstanceOf(Decision.Answer.class, slow.timer(now)).status());
    RequestMachine next = machines.create(() -> {});
    assertEquals(send.target(), forwarded(next, arrive(next, RequestClass.WRITE)).target());
    assertEquals(1, dispatcher.forwarding().inFlight(send.target()));
  }

  /** Names the other entries and records when the isolation changes. */
  private final class FakePort implements ForwardingPort {

    @Override
    public Collection<String> entries(long nowNanos) {
      return entries;
    }

    @Override
    public void isolationChanged(RequestForwarding forwarding, long nowNanos) {
      isolationChanges.add(forwarding.isIsolated());
    }
  }
}
