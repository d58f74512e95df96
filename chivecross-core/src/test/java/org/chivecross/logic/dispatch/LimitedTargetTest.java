package org.chivecross.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fleet.LimitShare;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.registry.TargetAddress;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.request.ResponseHead;
import org.chivecross.model.ruleset.CallerLimits;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.ServiceRule;
import org.chivecross.model.ruleset.WeightedService;
import org.junit.jupiter.api.Test;

/** Tests how one entry uses its shares of the request limits of targets. */
class LimitedTargetTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final RouteRule ROUTE =
      new RouteRule(
          "r", "h", "/", List.of(new WeightedService("s", 1)), RequestClass.READ, 1_200, 400, 3, 1);

  private final List<Integer> probes = new ArrayList<>();
  private final Map<String, LimitShare> shares = new HashMap<>();
  private final Map<String, OptionalDouble> stated = new HashMap<>();
  private final Map<String, Long> warmUps = new HashMap<>();
  private final Dispatcher dispatcher =
      new Dispatcher(
          new DispatchPreferences("a", 20, 10, 1_000, 0.5, 100, 10_000),
          new DispatchPorts(
              probes::add,
              target -> {},
              ForwardingPort.NONE,
              new FakePort(),
              SuspectRequestPort.NONE),
          new SplittableRandom(5));
  private long now = 1_000 * MILLI;

  /** Has the shares that the test sets and records what responses said. */
  private final class FakePort implements RequestLimitPort {

    @Override
    public Optional<LimitShare> shareOf(RegisteredTarget target, long nowNanos) {
      return Optional.ofNullable(shares.get(target.id()));
    }

    @Override
    public void responded(
        RegisteredTarget target, OptionalDouble requestsPerSecond, long nowNanos) {
      stated.put(target.id(), requestsPerSecond);
    }

    @Override
    public void warmingUp(RegisteredTarget target, long remainingMillis, long nowNanos) {
      warmUps.put(target.id(), remainingMillis);
    }
  }

  private void applyTargets(int count) {
    dispatcher.applyRules(
        new RuleSet(
            1,
            List.of(ROUTE),
            List.of(new ServiceRule("s", "/health", 300)),
            new CallerLimits(1, 1, 1, 1)));
    List<RegisteredTarget> registered = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      registered.add(
          new RegisteredTarget(
              "t" + i, 1, "s", TargetAddress.of("10.0.0." + i + ":80"), "a", 4, false, 0, 0));
    }
    dispatcher.applyTargets(registered, now);
  }

  private PlacementTicket open() {
    return dispatcher.open(ROUTE, now + 1_000 * MILLI, 0, () -> {}, now);
  }

  /** Places a request; all probes report an idle target. */
  private Placement place(PlacementTicket ticket) {
    Placement placement = dispatcher.place(ticket, now);
    while (placement instanceof Placement.Pending && !probes.isEmpty()) {
      int row = probes.remove(0);
      ResponseHead head = new ResponseHead(200, false, false, Optional.of(new LoadReport(0, 0, 4)));
      dispatcher.probeEnded(row, true, Optional.of(head), now);
      placement = dispatcher.place(ticket, now);
    }
    return placement;
  }

  private String placed() {
    Placement.Chosen chosen = assertInstanceOf(Placement.Chosen.class, place(open()));
    dispatcher.started(chosen.target());
    dispatcher.abandoned(chosen.target());
    return dispatcher.target(chosen.target()).orElseThrow().id();
  }

  /** Other targets of the service take the work of one that names a limit. */
  @Test
  void limitedTargetGetsItsShareAndNoProbes() {
    applyTargets(3);
    shares.put("t1", new LimitShare(2, 1, 5_000));
    int onLimited = 0;
    for (int i = 0; i < 1_000; i++) {
      now += 10 * MILLI;
      onLimited += placed().equals("t1") ? 1 : 0;
      for (int row : probes) {
        assertTrue(!dispatcher.target(row).orElseThrow().id().equals("t1"), "probed");
      }
    }
    assertTrue(onLimited >= 15 && onLimited <= 21, onLimited + " in 10 s");
    assertEquals(onLimited, dispatcher.limitedCount());
  }

  /** A limited target isn't probed, so only requests show that it doesn't respond. */
  @Test
  void failedTargetGetsNoRequestForSomeSeconds() {
    applyTargets(2);
    shares.put("t1", new LimitShare(5, 1, 5_000));
    int onLimited = 0;
    for (int i = 0; i < 500; i++) {
      now += 10 * MILLI;
      Placement.Chosen chosen = assertInstanceOf(Placement.Chosen.class, place(open()));
      dispatcher.started(chosen.target());
      if (dispatcher.target(chosen.target()).orElseThrow().id().equals("t1")) {
        onLimited++;
        dispatcher.failed(chosen.target(), now);
      } else {
        dispatcher.abandoned(chosen.target());
      }
    }
    assertTrue(onLimited >= 1 && onLimited <= 3, onLimited + " in 5 s");
  }

  @Test
  void entryWithoutAShareSendsNothingToALimitedTarget() {
    applyTargets(2);
    shares.put("t1", LimitShare.none(5_000));
    for (int i = 0; i < 200; i++) {
      now += 10 * MILLI;
      assertEquals("t0", placed());
    }
  }

  @Test
  void requestWaitsForATokenThatIsAvailableSoon() {
    applyTargets(1);
    shares.put("t0", new LimitShare(20, 1, 0));
    place(open());
    now += 40 * MILLI;
    PlacementTicket ticket = open();
    Placement.Pending pending = assertInstanceOf(Placement.Pending.class, place(ticket));
    assertTrue(pending.placeAgainAtNanos() - now <= 50 * MILLI);
    now = pending.placeAgainAtNanos();
    assertInstanceOf(Placement.Chosen.class, place(ticket));
  }

  /** Waiting until the deadline would keep the caller from another entry that has a share. */
  @Test
  void requestIsRefusedAtOnceWhenNoTokenIsAvailableSoon() {
    applyTargets(2);
    shares.put("t0", new LimitShare(0.5, 1, 0));
    shares.put("t1", LimitShare.none(0));
    Placement.Refused refused = assertInstanceOf(Placement.Refused.class, place(open()));
    assertTrue(refused.failure().detail().contains("request limits"), refused.failure().detail());
    assertTrue(refused.retryAfterMillis() > 0 && refused.retryAfterMillis() <= 2_000);
    assertEquals(List.of(), probes);
  }

  /** An idle entry that gets a share must not use the time before it. */
  @Test
  void tokensOfTheTimeWithoutAShareAreNotUsed() {
    applyTargets(1);
    shares.put("t0", LimitShare.none(0));
    place(open());
    now += 60_000 * MILLI;
    shares.put("t0", new LimitShare(0.5, 3, 0));
    assertInstanceOf(Placement.Refused.class, place(open()));
  }

  @Test
  void limitIsReadFromEveryResponseAndItsEndOnlyFromServedRequests() {
    applyTargets(1);
    place(open());
    ResponseHead probed =
        new ResponseHead(
            503,
            false,
            false,
            Optional.empty(),
            OptionalLong.empty(),
            OptionalLong.empty(),
            OptionalDouble.of(3));
    dispatcher.probeEnded(0, false, Optional.of(probed), now);
    assertEquals(OptionalDouble.of(3), stated.get("t0"));
    ResponseHead without = new ResponseHead(200, false, false, Optional.empty());
    dispatcher.probeEnded(0, true, Optional.of(without), now);
    assertEquals(OptionalDouble.of(3), stated.get("t0"));
    dispatcher.limitStated(0, OptionalDouble.empty(), now);
    assertEquals(OptionalDouble.empty(), stated.get("t0"));
  }
}
