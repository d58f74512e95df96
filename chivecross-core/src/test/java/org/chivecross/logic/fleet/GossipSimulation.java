package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.Collection;
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
import org.chivecross.model.fleet.StoreVersion;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.registry.TargetAddress;
import org.chivecross.model.ruleset.CallerLimits;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.WeightedService;

/**
 * Simulates gossip between entries in several data centres, and their store, in virtual time. Not
 * thread-safe.
 */
final class GossipSimulation {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long READ_MILLIS = 6;
  private static final List<String> SEEDS = List.of("10.1.0.1", "10.2.0.1");

  final Map<String, Entry> entries = new TreeMap<>();
  final Map<String, RegisteredTarget> registrations = new TreeMap<>();
  private final Map<String, Long> changedAt = new TreeMap<>();
  private final Map<String, Long> sequences = new TreeMap<>();
  private final Map<String, Long> evacuatedAt = new TreeMap<>();
  private final Map<String, Long> restoredAt = new TreeMap<>();
  private final SplittableRandom random;
  double lossRate;
  RuleSet rules = rules(1);
  long revision = 1;
  private long era = 1;
  long now;
  private long rulesRevision = 1;
  boolean storeDown;
  int reads;
  int snapshotReads;
  int messages;

  /** One simulated entry and the side effects of its node. */
  final class Entry implements FleetPort {
    final FleetNode node;
    final String ip;
    boolean running = true;
    boolean reachable = true;
    int partition;
    boolean refusedByStore;
    Optional<StoreCopy> servedByCopy = Optional.empty();
    OptionalLong readAfterRevision = OptionalLong.empty();
    long readEndsNanos = Long.MAX_VALUE;
    long tickNanos;
    boolean stopped;

    Entry(String ip, String dataCentre, long incarnation, boolean firstStart) {
      this.ip = ip;
      node =
          new FleetNode(
              new FleetPreferences(ip, dataCentre, incarnation, SEEDS, firstStart),
              this,
              random.split());
    }

    @Override
    public void send(Collection<String> receivers, FleetMessage message) {
      receivers.forEach(to -> send(to, message));
    }

    private void send(String to, FleetMessage message) {
      messages++;
      if (lossRate > 0 && random.nextDouble() < lossRate) {
        return;
      }
      Entry other = entries.get(to);
      if (other != null
          && other.running
          && running
          && other.reachable
          && reachable
          && other.partition == partition) {
        datagramsInFlight.add(new Datagram(ip, to, message, now + MILLI));
      }
    }

    @Override
    public void read(OptionalLong after) {
      reads++;
      snapshotReads += after.isEmpty() ? 1 : 0;
      readAfterRevision = after;
      readEndsNanos = now + READ_MILLIS * MILLI;
    }

    @Override
    public void viewChanged(boolean newRules) {}

    void endRead() {
      readEndsNanos = Long.MAX_VALUE;
      if (storeDown || refusedByStore) {
        node.readFailed(false, now);
        return;
      }
      if (servedByCopy.isPresent()) {
        node.readSucceeded(servedByCopy.get().content(), now);
        return;
      }
      if (readAfterRevision.orElse(0) > revision) {
        node.readFailed(true, now);
        return;
      }
      node.readSucceeded(
          readAfterRevision.isPresent()
              ? changesAfter(readAfterRevision.getAsLong())
              : storeSnapshot(),
          now);
    }
  }

  /** State of the store at some time. */
  record StoreCopy(
      StoreChange content,
      Map<String, RegisteredTarget> registrations,
      Map<String, Long> changedAt,
      RuleSet rules,
      long revision) {}

  /** A message that has not been delivered yet. */
  private record Datagram(String from, String to, FleetMessage message, long arrivesNanos) {}

  private List<Datagram> datagramsInFlight = new ArrayList<>();

  /** Creates entries that have not been ticked yet, and registered targets. */
  GossipSimulation(int dataCentres, int entriesPerDataCentre, int targets, boolean firstStart) {
    this(dataCentres, entriesPerDataCentre, targets, firstStart, 7);
  }

  /** Creates a simulation with the given seed of all random choices. */
  GossipSimulation(
      int dataCentres, int entriesPerDataCentre, int targets, boolean firstStart, long seed) {
    random = new SplittableRandom(seed);
    for (int dc = 1; dc <= dataCentres; dc++) {
      for (int i = 1; i <= entriesPerDataCentre; i++) {
        String ip = "10." + dc + ".0." + i;
        entries.put(ip, new Entry(ip, "dc" + dc, ip.hashCode(), firstStart));
      }
    }
    for (int i = 0; i < targets; i++) {
      put("t" + i, 1, false);
    }
  }

  Entry entry(String ip) {
    return java.util.Objects.requireNonNull(entries.get(ip));
  }

  void put(String id, long startedAt, boolean leaving) {
    put(
        new RegisteredTarget(
            id, startedAt, "s", TargetAddress.of("10.9.0.1:80"), "dc1", 4, leaving, 0, 0));
  }

  /** Registers a target with the next sequence number of its own. */
  void put(RegisteredTarget target) {
    long sequence = sequences.merge(target.id(), 1L, Long::sum);
    registrations.put(
        target.id(),
        new RegisteredTarget(
            target.id(),
            target.startedAtMillis(),
            target.service(),
            target.address(),
            target.dataCentre(),
            target.slots(),
            target.leaving(),
            target.warmupMillis(),
            sequence));
    revision++;
    changedAt.put(target.id(), revision);
  }

  RegisteredTarget remove(String id) {
    revision++;
    changedAt.put(id, revision);
    return java.util.Objects.requireNonNull(registrations.remove(id));
  }

  /** Lets the operator ask that nothing be sent to the targets of a data centre. */
  void evacuate(String dataCentre) {
    evacuatedAt.put(dataCentre, ++revision);
    restoredAt.remove(dataCentre);
  }

  /** Takes an evacuated data centre back. */
  void takeBack(String dataCentre) {
    restoredAt.put(dataCentre, ++revision);
    evacuatedAt.remove(dataCentre);
  }

  void changeRules(long version) {
    rules = rules(version);
    revision++;
    rulesRevision = revision;
  }

  StoreVersion version() {
    return new StoreVersion(era, revision);
  }

  StoreCopy copy() {
    return new StoreCopy(
        storeSnapshot(), Map.copyOf(registrations), Map.copyOf(changedAt), rules, revision);
  }

  /** Replaces the content of the store by that of an earlier time; its next era begins. */
  void restore(StoreCopy copy) {
    era++;
    registrations.clear();
    registrations.putAll(copy.registrations());
    changedAt.clear();
    changedAt.putAll(copy.changedAt());
    rules = copy.rules();
    revision = copy.revision();
    rulesRevision = Math.min(rulesRevision, revision);
  }

  /** Replaces an entry by a new run of its process, which knows nothing. */
  Entry restart(String ip, String dataCentre) {
    Entry entry = new Entry(ip, dataCentre, ip.hashCode() + now, false);
    entries.put(ip, entry);
    return entry;
  }

  private StoreChange storeSnapshot() {
    return new StoreChange(
        true,
        version(),
        List.copyOf(registrations.values()),
        List.of(),
        Optional.of(rules),
        List.copyOf(evacuatedAt.keySet()),
        List.of());
  }

  private static List<String> keysAfter(Map<String, Long> changes, long knownRevision) {
    return changes.entrySet().stream()
        .filter(change -> change.getValue() > knownRevision)
        .map(Map.Entry::getKey)
        .toList();
  }

  private StoreChange changesAfter(long knownRevision) {
    List<RegisteredTarget> registered = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    changedAt.forEach(
        (id, at) -> {
          RegisteredTarget target = registrations.get(id);
          if (at > knownRevision && target == null) {
            removed.add(id);
          } else if (at > knownRevision) {
            registered.add(target);
          }
        });
    Optional<RuleSet> changed =
        rulesRevision > knownRevision ? Optional.of(rules) : Optional.empty();
    return new StoreChange(
        false,
        version(),
        registered,
        removed,
        changed,
        keysAfter(evacuatedAt, knownRevision),
        keysAfter(restoredAt, knownRevision));
  }

  static RuleSet rules(long version) {
    RouteRule route =
        new RouteRule(
            "r", "h", "/", List.of(new WeightedService("s", 1)), RequestClass.READ, 1, 1, 1, 0);
    return new RuleSet(version, List.of(route), List.of(), new CallerLimits(1, 1, 1, 1));
  }

  /** Stops an entry without notice to the others. */
  void stop(String ip) {
    entry(ip).running = false;
    entry(ip).stopped = true;
  }

  /** Starts the entries at random times within the given time. */
  void startWithin(long millis) {
    for (Entry entry : entries.values()) {
      entry.tickNanos = now + (1 + random.nextLong(millis)) * MILLI;
      entry.running = false;
    }
  }

  void runMillis(long millis) {
    long end = now + millis * MILLI;
    while (now < end) {
      now += MILLI;
      List<Datagram> pending = datagramsInFlight;
      datagramsInFlight = new ArrayList<>();
      for (Datagram datagram : pending) {
        Entry receiver = entries.get(datagram.to());
        if (datagram.arrivesNanos() > now) {
          datagramsInFlight.add(datagram);
        } else if (receiver != null && receiver.running) {
          receiver.node.received(datagram.from(), datagram.message(), now);
        }
      }
      for (Entry entry : entries.values()) {
        if (!entry.running && !entry.stopped && entry.tickNanos > 0 && now >= entry.tickNanos) {
          entry.running = true;
        }
        if (!entry.running) {
          continue;
        }
        if (now >= entry.readEndsNanos) {
          entry.endRead();
          entry.tickNanos = entry.node.nextTickNanos(now);
        }
        if (now >= entry.tickNanos) {
          entry.node.tick(now);
          entry.tickNanos = entry.node.nextTickNanos(now);
        }
      }
    }
  }

  long count(java.util.function.Predicate<FleetNode> condition) {
    return entries.values().stream()
        .filter(entry -> entry.running)
        .filter(entry -> condition.test(entry.node))
        .count();
  }
}
