package org.chivecross.logic.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.chivecross.logic.admission.Admission;
import org.chivecross.logic.admission.RequestOrder;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.registry.TargetAddress;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.request.ResponseHead;
import org.chivecross.model.ruleset.CallerLimits;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.ServiceRule;
import org.chivecross.model.ruleset.WeightedService;

/**
 * Simulation of dispatchers and targets in virtual time, without a network. Targets have slots and
 * a queue; in each phase of 150 ms a fraction of them is five times slower; work keeps the speed at
 * which it began. Not thread-safe.
 */
final class DispatchSimulation {

  static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  static final long OBJECTIVE_MILLIS = 400;
  static final long DEADLINE_MILLIS = 1_200;
  private static final long PHASE_MILLIS = 150;
  private static final long PROBE_MILLIS = 2;

  /** Idle time after which targets close a connection. */
  private static final long IDLE_CLOSE_MILLIS = 10_000;

  private static final int SLOW_FACTOR = 5;

  /** Time of a target that a probe costs; the next request there takes longer by it. */
  private static final double PROBE_WORK_MILLIS = 6;

  /** Scheduled action; the number orders events of the same time. */
  private record Event(long nanos, long number, LongConsumer action) {}

  final SplittableRandom random;
  final List<FakeTarget> targets = new ArrayList<>();
  final List<Dispatcher> entries = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparingLong(Event::number));
  private final double slowFraction;
  private final long workMillis;
  private long nextEventNumber;

  /** 10.0.0.0 */
  private static final int FIRST_TARGET_IP = 10 << 24;

  Supplier<Admission> admission = RequestOrder::withOwnLevels;
  double nearlyFullFactor = 1.7;
  int repeats = 1;
  final List<RouteLoad> routeLoads = new ArrayList<>();
  private boolean hasBudgetShares;
  int sent;
  int inTime;
  int late;
  int refused;
  int shed;
  int probes;
  long maxRetryAfterMillis;
  int collisions;

  /** Time that requests and load reports travel. */
  long oneWayMillis;

  int connects;
  long responseBytes;
  long remoteBytes;
  private final Map<Dispatcher, String> dataCentres = new HashMap<>();
  private final Map<String, Long> lastUsedNanos = new HashMap<>();

  DispatchSimulation(long seed, double slowPart, long workMillis) {
    random = new SplittableRandom(seed);
    this.slowFraction = slowPart;
    this.workMillis = workMillis;
  }

  void addTargets(String dataCentre, int count, int slots) {
    for (int i = 0; i < count; i++) {
      String id = dataCentre + "-" + targets.size();
      TargetAddress address = new TargetAddress(FIRST_TARGET_IP + targets.size(), 80);
      targets.add(
          new FakeTarget(
              new RegisteredTarget(id, 1, "s", address, dataCentre, slots, false, 0, 0)));
    }
  }

  void addEntries(String dataCentre, int count, double probesPerSecond) {
    for (int i = 0; i < count; i++) {
      int index = entries.size();
      DispatchPreferences preferences =
          new DispatchPreferences(dataCentre, 20, 10, probesPerSecond, 0.2, 75, 10_000);
      Dispatcher entry =
          new Dispatcher(
              preferences,
              new DispatchPorts(
                  row -> probe(index, row),
                  target -> {},
                  ForwardingPort.NONE,
                  RequestLimitPort.NONE,
                  SuspectRequestPort.NONE,
                  admission.get()),
              random.split());
      entry.applyRules(rules());
      entry.applyTargets(targets.stream().map(t -> t.registered).toList(), 0);
      entries.add(entry);
      dataCentres.put(entry, dataCentre);
    }
  }

  static RouteRule route() {
    return new RouteRule(
        "r",
        "h",
        "/s/",
        List.of(new WeightedService("s", 1)),
        RequestClass.READ,
        DEADLINE_MILLIS,
        OBJECTIVE_MILLIS,
        2,
        1);
  }

  private RuleSet rules() {
    List<RouteRule> rules = new ArrayList<>(List.of(route()));
    routeLoads.forEach(load -> rules.add(load.rule));
    return new RuleSet(
        1,
        rules,
        List.of(new ServiceRule("s", "/health", 300)),
        new CallerLimits(1 << 14, 1 << 20, 1_000, 1_000));
  }

  /** Sends requests from one entry at a mean rate with random intervals. */
  void load(int entry, double perSecond, long seconds) {
    double at = 0;
    while (at < seconds) {
      at += -Math.log(1 - random.nextDouble()) / perSecond;
      schedule((long) (at * 1e9), now -> request(entry, now));
    }
  }

  /** Lets the entries know each other, so that they may prefer targets. */
  void shareEntries() {
    List<FleetMember> members = new ArrayList<>();
    for (int i = 0; i < entries.size(); i++) {
      String zone = dataCentres.getOrDefault(entries.get(i), "");
      members.add(new FleetMember("10.1.0." + i, i, zone, true, false, 0, 0));
    }
    for (int i = 0; i < entries.size(); i++) {
      entries.get(i).preferred().applyEntries("10.1.0." + i, members);
    }
  }

  /** Registers another target at all entries after some time; returns its index. */
  int addTargetLater(String dataCentre, int slots, long afterMillis) {
    addTargets(dataCentre, 1, slots);
    List<RegisteredTarget> all = targets.stream().map(t -> t.registered).toList();
    schedule(afterMillis * MILLI, now -> entries.forEach(entry -> entry.applyTargets(all, now)));
    return targets.size() - 1;
  }

  /** Sends requests at a rate that swings around {@code perSecond} like a sine. */
  void wave(int entry, double perSecond, double swing, double period, double shift, long seconds) {
    double at = 0;
    while (at < seconds) {
      at += -Math.log(1 - random.nextDouble()) / (perSecond * (1 + swing));
      double rate = 1 + swing * Math.sin(2 * Math.PI * (at - shift) / period);
      if (random.nextDouble() * (1 + swing) < rate) {
        schedule((long) (at * 1e9), now -> request(entry, now));
      }
    }
  }

  /** Sends requests of a route to entries at random from a time on; callers repeat refused ones. */
  void load(RouteLoad load, int first, int last, double perSecond, double fromSecond, double to) {
    new RouteLoadSender(this).send(load, first, last, perSecond, fromSecond, to);
  }

  /** Sets the budget shares by load; only the first {@code loaded} entries receive requests. */
  void shareBudgetsByLoad(int perSecond, int loaded) {
    double total = (double) perSecond * loaded + entries.size();
    for (int i = 0; i < entries.size(); i++) {
      entries.get(i).setBudgetShare(((i < loaded ? perSecond : 0) + 1) / total, entries.size());
    }
    hasBudgetShares = true;
  }

  void run() {
    if (!hasBudgetShares) {
      entries.forEach(entry -> entry.setBudgetShare(1.0 / entries.size(), entries.size()));
    }
    while (!events.isEmpty()) {
      Event event = events.remove();
      event.action().accept(event.nanos());
    }
  }

  int slowdown(FakeTarget target, long now) {
    long phase = now / (PHASE_MILLIS * MILLI);
    long hash = (phase * 1_000_003 + target.registered.id().hashCode()) * 0x9E3779B97F4A7C15L;
    boolean slow = (hash >>> 40) / (double) (1 << 24) < slowFraction;
    return slow ? SLOW_FACTOR : 1;
  }

  private void request(int entry, long now) {
    sent++;
    Dispatcher dispatcher = entries.get(entry);
    PlacementTicket[] ticket = new PlacementTicket[1];
    boolean[] done = new boolean[1];
    Runnable schedulePlacement =
        () -> schedule(nowNanos, at -> place(dispatcher, ticket[0], done, at));
    ticket[0] = dispatcher.open(route(), now + DEADLINE_MILLIS * MILLI, 0, schedulePlacement, now);
    place(dispatcher, ticket[0], done, now);
  }

  private void place(Dispatcher dispatcher, PlacementTicket ticket, boolean[] done, long now) {
    if (done[0]) {
      return;
    }
    Placement placement = dispatcher.place(ticket, now);
    if (placement instanceof Placement.Pending pending) {
      schedule(pending.placeAgainAtNanos(), at -> place(dispatcher, ticket, done, at));
      return;
    }
    done[0] = true;
    if (placement instanceof Placement.Chosen chosen) {
      int row = chosen.target();
      if (random.nextDouble() < find(dispatcher, row).shedFraction) {
        shedRequest(dispatcher, ticket, row, done, now);
      } else {
        serve(dispatcher, ticket, row, now);
      }
    } else {
      refused++;
    }
  }

  /** Lets the target refuse the request, which is then placed again or dropped. */
  private void shedRequest(
      Dispatcher dispatcher, PlacementTicket ticket, int row, boolean[] done, long now) {
    dispatcher.started(row);
    dispatcher.failed(row, now);
    if (dispatcher.tryTakeRetry(ticket, now)) {
      done[0] = false;
      dispatcher.placeAgain(ticket, now);
      schedule(now, at -> place(dispatcher, ticket, done, at));
      return;
    }
    shed++;
    maxRetryAfterMillis = Math.max(maxRetryAfterMillis, dispatcher.retryAfterMillis(ticket, now));
  }

  private boolean isLocal(Dispatcher dispatcher, FakeTarget target) {
    return target.registered.dataCentre().equals(dataCentres.get(dispatcher));
  }

  /** Counts a new connection from an entry to a target unless one is kept. */
  private void connect(Dispatcher dispatcher, FakeTarget target, long now) {
    String pair = entries.indexOf(dispatcher) + " " + target.registered.id();
    Long last = lastUsedNanos.put(pair, now);
    if (last == null || now - last > IDLE_CLOSE_MILLIS * MILLI) {
      connects++;
    }
  }

  private void serve(Dispatcher dispatcher, PlacementTicket ticket, int row, long now) {
    FakeTarget target = find(dispatcher, row);
    connect(dispatcher, target, now);
    target.requests++;
    DispatchEvent.TargetLoad load = dispatcher.targetLoad(row, now);
    boolean sawFreeSlot =
        load.reportAgeMillis() >= 0
            && load.reportAgeMillis() <= 25
            && load.running() + load.waiting() < target.registered.slots();
    dispatcher.started(row);
    boolean wasAtNominalSpeed = dispatcher.isAtNominalSpeed(row, now);
    LongConsumer arrival =
        at -> {
          collisions += sawFreeSlot && target.running >= target.registered.slots() ? 1 : 0;
          run(dispatcher, ticket, row, wasAtNominalSpeed, at);
        };
    if (oneWayMillis == 0) {
      arrival.accept(now);
    } else {
      schedule(now + oneWayMillis * MILLI, arrival);
    }
  }

  private void run(
      Dispatcher dispatcher, PlacementTicket ticket, int row, boolean nominalSpeed, long now) {
    FakeTarget target = find(dispatcher, row);
    long begin = now;
    if (target.running >= target.registered.slots()) {
      target.waiting++;
      begin = now + (target.waiting * workMillis * MILLI) / target.registered.slots();
    }
    boolean queued = begin > now;
    target.running++;
    long end = begin + workMillis * MILLI * slowdown(target, begin);
    schedule(
        end,
        at -> {
          target.running--;
          target.waiting -= queued ? 1 : 0;
          dispatcher.served(ticket, row, at - now, nominalSpeed, at);
          dispatcher.responseSized(ticket, responseBytes);
          if (!isLocal(dispatcher, target)) {
            remoteBytes += responseBytes;
          }
          if (at - ticket.arrivedNanos() <= OBJECTIVE_MILLIS * MILLI) {
            inTime++;
          } else {
            late++;
          }
        });
  }

  private void probe(int entry, int row) {
    probes++;
    Dispatcher dispatcher = entries.get(entry);
    FakeTarget target = find(dispatcher, row);
    connect(dispatcher, target, nowNanos);
    target.owedMillis += PROBE_WORK_MILLIS;
    long answer = nowNanos + PROBE_MILLIS * MILLI;
    if (target.ignoresProbes) {
      long timeout = nowNanos + Dispatcher.probeTimeoutMillis() * MILLI;
      schedule(timeout, at -> dispatcher.probeEnded(row, false, Optional.empty(), at));
      return;
    }
    schedule(
        answer,
        at -> {
          int running = Math.min(target.running, target.registered.slots());
          LoadReport report =
              new LoadReport(
                  running, target.waiting, target.registered.slots(), 100 * slowdown(target, at));
          ResponseHead head = new ResponseHead(200, false, false, Optional.of(report));
          if (oneWayMillis == 0) {
            dispatcher.probeEnded(row, true, Optional.of(head), at);
          } else {
            schedule(
                at + oneWayMillis * MILLI,
                later -> dispatcher.probeEnded(row, true, Optional.of(head), later));
          }
        });
  }

  FakeTarget find(Dispatcher dispatcher, int row) {
    String id = dispatcher.target(row).orElseThrow().id();
    return targets.stream().filter(t -> t.registered.id().equals(id)).findFirst().orElseThrow();
  }

  long nowNanos;

  void schedule(long nanos, LongConsumer action) {
    events.add(
        new Event(
            Math.max(nanos, nowNanos),
            nextEventNumber++,
            now -> {
              nowNanos = now;
              action.accept(now);
            }));
  }
}
