package org.chivecross.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.chivecross.logic.dispatch.PlacementExplanation.Outcome;
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

/** Tests explanations of placements against the placements themselves. */
class PlacementExplanationTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int TARGETS = 12;
  private static final RouteRule ROUTE =
      new RouteRule(
          "r",
          "h",
          "/",
          List.of(new WeightedService("s0", 2), new WeightedService("s1", 1)),
          RequestClass.READ,
          1_200,
          400,
          3,
          1);

  /** A dispatcher and a script, derived from a seed, of what happens to it. */
  private static final class Run implements RequestLimitPort {
    private final SplittableRandom script;
    private final Deque<Integer> probes = new ArrayDeque<>();
    private final Map<String, LimitShare> shares = new HashMap<>();
    private final Dispatcher dispatcher;
    private long now = 1_000 * MILLI;

    Run(long seed) {
      script = new SplittableRandom(seed);
      dispatcher =
          new Dispatcher(
              new DispatchPreferences("a", 20, 10, 1_000, 0.5, 100, 10_000),
              new DispatchPorts(
                  probes::add, t -> {}, ForwardingPort.NONE, this, SuspectRequestPort.NONE),
              new SplittableRandom(seed + 1));
      ServiceRule rule = new ServiceRule("s0", "/health", 300);
      dispatcher.applyRules(
          new RuleSet(1, List.of(ROUTE), List.of(rule), new CallerLimits(1, 1, 1, 1)));
      List<RegisteredTarget> registered = new ArrayList<>();
      for (int i = 0; i < TARGETS; i++) {
        String dataCentre = i % 3 == 0 ? "b" : "a";
        registered.add(
            new RegisteredTarget(
                "t" + i,
                1,
                "s" + i % 2,
                TargetAddress.of("10.0.0.1:1"),
                dataCentre,
                2,
                false,
                0,
                0));
      }
      dispatcher.applyTargets(registered, now);
    }

    @Override
    public Optional<LimitShare> shareOf(RegisteredTarget target, long nowNanos) {
      return Optional.ofNullable(shares.get(target.id()));
    }

    @Override
    public void responded(RegisteredTarget target, OptionalDouble perSecond, long nowNanos) {}

    @Override
    public void warmingUp(RegisteredTarget target, long remainingMillis, long nowNanos) {}

    int row(String id) {
      int row = 0;
      while (!dispatcher.target(row).orElseThrow().id().equals(id)) {
        row++;
      }
      return row;
    }

    PlacementExplanation explain() {
      return dispatcher.explainer().explain("h", "/x", 0, OptionalLong.empty(), now);
    }

    /** Changes limits, hold-offs or evacuations at times. */
    void changeState() {
      now += script.nextInt(60) * MILLI;
      int row = script.nextInt(TARGETS);
      switch (script.nextInt(12)) {
        case 0 ->
            shares.put("t" + row, new LimitShare(script.nextInt(4), 2, script.nextInt(3_000)));
        case 1, 2 -> shares.remove("t" + row);
        case 3 -> holdOff(row, 500);
        case 4 -> dispatcher.applyEvacuations(script.nextInt(4) == 0 ? Set.of("a") : Set.of());
        default -> shares.remove("t" + (row + 1));
      }
    }

    void holdOff(int row, long millis) {
      OptionalLong none = OptionalLong.empty();
      ResponseHead head =
          new ResponseHead(503, true, false, Optional.empty(), OptionalLong.of(millis), none);
      dispatcher.announced(row, head, now);
    }

    PlacementTicket open() {
      return dispatcher.open(ROUTE, now + 1_200 * MILLI, 0, () -> {}, now);
    }

    /** Answers the probes of a request by random reports; returns what became of it. */
    String finish(PlacementTicket ticket, Placement first) {
      Placement placement = first;
      for (int i = 0; i < 20 && placement instanceof Placement.Pending pending; i++) {
        now = probes.isEmpty() ? pending.placeAgainAtNanos() : now + MILLI;
        while (!probes.isEmpty()) {
          report(probes.remove(), script.nextInt(4), 100 + 400 * script.nextInt(2));
        }
        placement = dispatcher.place(ticket, now);
      }
      if (placement instanceof Placement.Chosen chosen) {
        dispatcher.started(chosen.target());
        if (script.nextInt(8) == 0) {
          dispatcher.failed(chosen.target(), now);
        } else {
          dispatcher.served(ticket, chosen.target(), 50 * MILLI, true, now);
        }
      }
      return ticket.service() + " " + placement + " at " + now;
    }

    void report(int row, int running, int slowdownPercent) {
      LoadReport load = new LoadReport(running, 0, 2, slowdownPercent);
      ResponseHead head = new ResponseHead(200, false, false, Optional.of(load));
      dispatcher.probeEnded(row, true, Optional.of(head), now);
    }
  }

  /** Guards against an explanation that probes, takes tokens or turns, or draws random numbers. */
  @Test
  void explanationsChangeNoPlacement() {
    for (long seed = 1; seed <= 5; seed++) {
      Run explained = new Run(seed);
      Run plain = new Run(seed);
      for (int i = 0; i < 2_000; i++) {
        explained.changeState();
        plain.changeState();
        PlacementExplanation first = explained.explain();
        assertEquals(first, explained.explain());
        assertEquals(List.copyOf(plain.probes), List.copyOf(explained.probes));
        PlacementTicket ticket = explained.open();
        PlacementTicket other = plain.open();
        String expected = plain.finish(other, plain.dispatcher.place(other, plain.now));
        Placement placement = explained.dispatcher.place(ticket, explained.now);
        assertEquals(expected, explained.finish(ticket, placement), "seed " + seed);
        assertEquals(plain.dispatcher.limitedCount(), explained.dispatcher.limitedCount());
      }
    }
  }

  /** Guards against an explanation that says something else than what is done. */
  @Test
  void forecastIsWhatPlacementDoes() {
    Set<Outcome> seen = EnumSet.noneOf(Outcome.class);
    Run run = new Run(6);
    run.finish(run.open(), new Placement.Pending(run.now));
    for (int i = 0; i < 5_000; i++) {
      run.changeState();
      PlacementExplanation explanation = run.explain();
      PlacementTicket ticket = run.open();
      Placement placement = run.dispatcher.place(ticket, run.now);
      assertEquals(ticket.service(), explanation.service());
      seen.add(explanation.outcome());
      switch (explanation.outcome()) {
        case PLACE -> {
          int row = assertInstanceOf(Placement.Chosen.class, placement).target();
          assertEquals(run.dispatcher.target(row).orElseThrow().id(), explanation.target());
        }
        case PLACE_AFTER_PROBE, WAIT ->
            assertTrue(!(placement instanceof Placement.Refused), explanation + " " + placement);
        default -> {
          Placement.Refused refused = assertInstanceOf(Placement.Refused.class, placement);
          assertEquals(refused.failure().detail(), explanation.detail());
        }
      }
      run.finish(ticket, placement);
    }
    assertEquals(
        EnumSet.of(Outcome.PLACE, Outcome.PLACE_AFTER_PROBE, Outcome.WAIT, Outcome.REFUSE), seen);
  }

  /** Guards against a reason that is not the one that keeps a target from being chosen. */
  @Test
  void eachTargetHasItsReason() {
    Run run = new Run(7);
    for (int row = 0; row < TARGETS; row++) {
      run.report(row, 0, 100);
    }
    // The next request goes to service s0, whose targets have even numbers; t0 and t6 are in b.
    run.report(run.row("t2"), 2, 100);
    run.report(run.row("t4"), 0, 500);
    run.shares.put("t8", LimitShare.none(0));
    run.dispatcher.started(run.row("t10"));
    run.dispatcher.failed(run.row("t10"), run.now);
    assertReasons(
        run,
        "t0 good enough, t10 failed lately, t2 full, t4 slow, t6 good enough,"
            + " t8 request limit without a share");
    run.holdOff(run.row("t4"), 500);
    run.dispatcher.applyEvacuations(Set.of("b"));
    OptionalLong none = OptionalLong.empty();
    run.dispatcher.announced(
        run.row("t2"), new ResponseHead(200, false, true, Optional.empty(), none, none), run.now);
    assertReasons(
        run,
        "t0 evacuated, t10 failed lately, t2 leaving, t4 hold-off, t6 evacuated,"
            + " t8 request limit without a share");
    assertEquals("none", run.explain().admission().decision());
    PlacementExplanation unknown =
        run.dispatcher.explainer().explain("other", "/x", 0, OptionalLong.empty(), run.now);
    assertEquals(Outcome.NO_ROUTE, unknown.outcome());
  }

  private static void assertReasons(Run run, String expected) {
    assertEquals(
        expected,
        run.explain().candidates().stream()
            .map(candidate -> candidate.id() + " " + candidate.reason())
            .sorted()
            .collect(Collectors.joining(", ")));
  }
}
