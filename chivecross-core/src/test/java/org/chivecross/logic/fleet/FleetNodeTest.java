package org.chivecross.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fleet.FleetMessage;
import org.chivecross.model.fleet.StoreChange;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.ruleset.CallerLimits;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.WeightedService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Entries in three data centres that share reads of a store, in virtual time. */
class FleetNodeTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long READ_MILLIS = 6;
  private static final long BOUND_MILLIS = 2_000;

  private final Map<String, Entry> entries = new TreeMap<>();
  private final Map<String, RegisteredTarget> stored = new TreeMap<>();
  private final Map<String, Long> changedAt = new TreeMap<>();
  private final SplittableRandom random = new SplittableRandom(7);
  private RuleSet rules = rules(1);
  private long revision = 1;
  private long now;
  private boolean storeDown;
  private int reads;

  /** One entry with its port to the test. */
  private final class Entry implements FleetPort {
    final FleetNode node;
    final String ip;
    boolean running = true;
    boolean reachable = true;
    boolean turnedAway;
    OptionalLong wanted = OptionalLong.empty();
    long readEndsNanos = Long.MAX_VALUE;

    Entry(String ip, String dataCentre) {
      this.ip = ip;
      node =
          new FleetNode(
              new FleetPreferences(ip, dataCentre, ip.hashCode(), List.of("10.1.0.1")),
              this,
              random.split());
    }

    @Override
    public void send(String to, FleetMessage message) {
      Entry other = entries.get(to);
      if (other != null && other.running && running && other.reachable && reachable) {
        inbox.add(new Mail(ip, to, message, now + MILLI));
      }
    }

    @Override
    public void read(OptionalLong after) {
      reads++;
      wanted = after;
      readEndsNanos = now + READ_MILLIS * MILLI;
    }

    @Override
    public void viewChanged(boolean newRules) {}

    void endRead() {
      readEndsNanos = Long.MAX_VALUE;
      if (storeDown || turnedAway) {
        node.readFailed(false, now);
        return;
      }
      node.readEnded(wanted.isPresent() ? changesAfter(wanted.getAsLong()) : everything(), now);
    }
  }

  /** A message on its way. */
  private record Mail(String from, String to, FleetMessage message, long arrivesNanos) {}

  private List<Mail> inbox = new ArrayList<>();

  @BeforeEach
  void startTwelveEntries() {
    for (int dc = 1; dc <= 3; dc++) {
      for (int i = 1; i <= 4; i++) {
        String ip = "10." + dc + ".0." + i;
        entries.put(ip, new Entry(ip, "dc" + dc));
      }
    }
    for (int i = 0; i < 6; i++) {
      put("t" + i, 1, false);
    }
  }

  private Entry entry(String ip) {
    return java.util.Objects.requireNonNull(entries.get(ip));
  }

  private void put(String id, long startedAt, boolean leaving) {
    put(new RegisteredTarget(id, startedAt, "s", "10.9.0.1:80", "dc1", 4, leaving, 0));
  }

  private void put(RegisteredTarget target) {
    stored.put(target.id(), target);
    revision++;
    changedAt.put(target.id(), revision);
  }

  private RegisteredTarget remove(String id) {
    revision++;
    changedAt.put(id, revision);
    return java.util.Objects.requireNonNull(stored.remove(id));
  }

  private StoreChange everything() {
    return new StoreChange(
        true, revision, List.copyOf(stored.values()), List.of(), Optional.of(rules));
  }

  private StoreChange changesAfter(long known) {
    List<RegisteredTarget> registered = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    changedAt.forEach(
        (id, at) -> {
          RegisteredTarget target = stored.get(id);
          if (at > known && target == null) {
            removed.add(id);
          } else if (at > known) {
            registered.add(target);
          }
        });
    return new StoreChange(false, revision, registered, removed, Optional.of(rules));
  }

  private static RuleSet rules(long version) {
    RouteRule route =
        new RouteRule(
            "r", "h", "/", List.of(new WeightedService("s", 1)), RequestClass.READ, 1, 1, 1, 0);
    return new RuleSet(version, List.of(route), List.of(), new CallerLimits(1, 1, 1, 1));
  }

  private void runMillis(long millis) {
    long end = now + millis * MILLI;
    while (now < end) {
      now += MILLI;
      List<Mail> due = inbox;
      inbox = new ArrayList<>();
      for (Mail mail : due) {
        Entry receiver = entries.get(mail.to());
        if (mail.arrivesNanos() > now) {
          inbox.add(mail);
        } else if (receiver != null && receiver.running) {
          receiver.node.received(mail.from(), mail.message(), now);
        }
      }
      for (Entry entry : entries.values()) {
        if (!entry.running) {
          continue;
        }
        if (now >= entry.readEndsNanos) {
          entry.endRead();
        }
        if (now >= entry.node.nextTickNanos(now)) {
          entry.node.tick(now);
        }
      }
    }
  }

  private long count(java.util.function.Predicate<FleetNode> condition) {
    return entries.values().stream()
        .filter(entry -> entry.running)
        .filter(entry -> condition.test(entry.node))
        .count();
  }

  private static boolean isLeaving(FleetNode node, String id) {
    return node.targets().stream()
        .filter(target -> target.id().equals(id))
        .allMatch(RegisteredTarget::leaving);
  }

  @Test
  void allEntriesFindEachOtherAndTheTargets() {
    runMillis(5_000);
    assertEquals(12, count(node -> node.others(now).size() == 11));
    assertEquals(12, count(node -> node.targets().size() == 6 && node.rules().isPresent()));
  }

  @Test
  void fewReadsServeAllEntries() {
    runMillis(5_000);
    reads = 0;
    runMillis(10_000);
    assertTrue(reads <= 40, reads + " reads in 10 s");
  }

  @Test
  void leavingTargetIsKnownEverywhereWithinTheBound() {
    runMillis(5_000);
    put("t3", 1, true);
    runMillis(BOUND_MILLIS / 2);
    assertEquals(12, count(node -> isLeaving(node, "t3")));
  }

  /** The readers vanish at the moment at which a target leaves. */
  @Test
  void otherEntriesReadWhenTheFirstOnesAreGone() {
    runMillis(5_000);
    for (String ip : List.of("10.1.0.1", "10.2.0.1", "10.3.0.1")) {
      entry(ip).running = false;
    }
    put("t3", 1, true);
    runMillis(BOUND_MILLIS);
    assertEquals(9, count(node -> isLeaving(node, "t3")));
  }

  /** The store turns some entries away and serves the others. */
  @Test
  void entriesThatAreTurnedAwayLearnFromTheOthers() {
    runMillis(5_000);
    for (String ip : List.of("10.1.0.1", "10.1.0.2", "10.2.0.1", "10.3.0.4")) {
      entry(ip).turnedAway = true;
    }
    runMillis(300);
    put("t3", 1, true);
    rules = rules(2);
    runMillis(BOUND_MILLIS);
    assertEquals(12, count(node -> isLeaving(node, "t3")));
    assertEquals(12, count(node -> node.rules().orElseThrow().version() == 2));
  }

  /** Registrations lapse while the store is away, and the targets come back within 2 s. */
  @Test
  void lapsedRegistrationsAreKeptUntilTheyMayBeBack() {
    runMillis(5_000);
    storeDown = true;
    runMillis(4_000);
    RegisteredTarget lapsed = remove("t1");
    RegisteredTarget gone = remove("t2");
    storeDown = false;
    runMillis(1_500);
    assertEquals(12, count(node -> node.targets().size() == 6));
    put(lapsed);
    runMillis(3_500);
    assertEquals(12, count(node -> node.targets().size() == 5));
    assertEquals(0, count(node -> node.targets().contains(gone)));
  }

  /** The entry that reads that targets are back is another one than read that they had lapsed. */
  @Test
  void targetsThatAreBackStayKnownWhicheverEntryReadsIt() {
    runMillis(5_000);
    storeDown = true;
    runMillis(4_000);
    RegisteredTarget lapsed = remove("t1");
    entries.values().forEach(entry -> entry.turnedAway = true);
    entry("10.2.0.3").turnedAway = false;
    storeDown = false;
    runMillis(1_300);
    assertEquals(12, count(node -> node.targets().size() == 6));
    put(lapsed);
    entry("10.2.0.3").turnedAway = true;
    entry("10.1.0.1").turnedAway = false;
    runMillis(5_000);
    assertEquals(12, count(node -> node.targets().size() == 6));
  }

  @Test
  void outageOfTheStoreIsNotAnsweredByAStampede() {
    runMillis(5_000);
    storeDown = true;
    reads = 0;
    runMillis(5_000);
    assertTrue(reads <= 12 * 9, reads + " reads in 5 s");
  }

  @Test
  void rulesNeverGoBack() {
    runMillis(3_000);
    rules = rules(9);
    revision++;
    runMillis(2_000);
    rules = rules(4);
    revision++;
    runMillis(2_000);
    assertEquals(12, count(node -> node.rules().orElseThrow().version() == 9));
  }

  private double partsOfAll() {
    return entries.values().stream().mapToDouble(entry -> entry.node.budgetPart(now)).sum();
  }

  /** One data centre has most of the callers. */
  @Test
  void partsOfBudgetsFollowTheLoadAndAddUpToOne() {
    entry("10.1.0.1").node.setRequestsPerSecond(99);
    assertTrue(partsOfAll() <= 1, "before they know each other");
    runMillis(5_000);
    assertEquals(1.0, partsOfAll(), 0.01);
    assertEquals(100.0 / 111, entry("10.1.0.1").node.budgetPart(now), 0.01);
  }

  /** An entry that is cut off from the others goes on serving; its part is still its own. */
  @Test
  void partsOfBudgetsDoNotGrowWhileEntriesAreCutOff() {
    runMillis(5_000);
    assertEquals(1.0, partsOfAll(), 0.01);
    Entry cut = entry("10.2.0.2");
    cut.reachable = false;
    runMillis(8_000);
    assertEquals(0, cut.node.others(now).size());
    assertTrue(partsOfAll() <= 1.01, "parts add up to " + partsOfAll());
  }
}
