package org.chivecross.cli.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.chivecross.logic.config.ConfigView;
import org.chivecross.model.peer.MemberState;

/**
 * A seeded schedule of faults: sets are published while the platform is down or stale, the network
 * is parted or loses messages, and processes pause and restart (any number but all at once). Then
 * everything heals and all entries must agree. Not thread-safe.
 */
public final class ChaosSchedule {

  /**
   * Outcome of one schedule.
   *
   * @param violations older versions or mixed sets that were put in force
   * @param agreedNanos time from healing until all entries agree on the newest accepted set and on
   *     the members, or -1 when they did not within the bound
   * @param state what each entry held at the end
   */
  public record Verdict(int violations, long agreedNanos, String state) {}

  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long MEAN_FAULT_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(8);
  private static final int FAULT_KINDS = 9;
  private static final int DATA_CENTRES = 3;

  private final SplittableRandom random;
  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network;
  private final FakePlatform platform = new FakePlatform(time);
  private final SimulatedCheck check = new SimulatedCheck();
  private final List<SimulatedEntry> entries = new ArrayList<>();
  private final SimulatedEntry.Environment environment;
  private final int faultCount;
  private long newestValidRevision;
  private int violationsOfStoppedEntries;

  /**
   * Creates a schedule.
   *
   * @param seed seed of everything random
   * @param size number of entries, at least 2
   * @param steps number of faults
   */
  public ChaosSchedule(long seed, int size, int steps) {
    this.faultCount = steps;
    random = new SplittableRandom(seed);
    network = new FakeNetwork(time, random.split());
    List<String> contacts = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      contacts.add(address(i));
    }
    environment =
        new SimulatedEntry.Environment(time, network, platform, check, TICK_NANOS, size, contacts);
    for (int i = 0; i < size; i++) {
      entries.add(startEntry(i));
    }
  }

  /**
   * Runs the schedule.
   *
   * @param boundNanos time after healing within which all entries must agree
   */
  public Verdict run(long boundNanos) {
    publish("good", true);
    time.runUntil(SETTLE_NANOS);
    for (int i = 0; i < faultCount; i++) {
      injectFault();
      time.runUntil(time.now() + random.nextLong(2 * MEAN_FAULT_GAP_NANOS));
    }
    network.partition((from, to) -> false);
    network.setLossFraction(0);
    platform.setReachable(reader -> true);
    platform.setStale(false);
    publish("good", true);
    long healed = time.now();
    while (!allEntriesAgree() && time.now() - healed < boundNanos) {
      time.runUntil(time.now() + MEAN_FAULT_GAP_NANOS / 5);
    }
    long agreed = allEntriesAgree() ? time.now() - healed : -1;
    int violations = violationsOfStoppedEntries + check.mixedSets();
    for (SimulatedEntry entry : entries) {
      violations += entry.violations();
    }
    return new Verdict(violations, agreed, describeEntries());
  }

  private static String address(int i) {
    return "10.0.0." + i + ":7400";
  }

  private SimulatedEntry startEntry(int i) {
    return new SimulatedEntry(environment, address(i), "dc" + i % DATA_CENTRES, random.nextLong());
  }

  private void publish(String word, boolean complete) {
    long revision = platform.publish(word, complete);
    if (complete && !word.equals(SimulatedCheck.INVALID_MARKER)) {
      newestValidRevision = revision;
    }
  }

  private void injectFault() {
    switch (random.nextInt(FAULT_KINDS)) {
      case 0 -> publish("good", true);
      case 1 -> publish(random.nextBoolean() ? SimulatedCheck.INVALID_MARKER : "good", false);
      case 2 -> publish(SimulatedCheck.INVALID_MARKER, true);
      case 3 -> platform.setReachable(randomReachability(random.nextInt(3)));
      case 4 -> {
        if (random.nextBoolean()) {
          platform.serveEarlierRevision(1 + random.nextInt(2));
        } else {
          platform.setStale(random.nextBoolean());
        }
      }
      case 5 -> partitionOrHeal();
      case 6 -> network.setLossFraction(random.nextBoolean() ? 0 : random.nextDouble() / 4);
      case 7 ->
          entries
              .get(random.nextInt(entries.size()))
              .pause(random.nextLong(20 * MEAN_FAULT_GAP_NANOS));
      default -> restartSomeEntries();
    }
  }

  private Predicate<String> randomReachability(int kind) {
    String only = address(random.nextInt(entries.size()));
    return switch (kind) {
      case 0 -> reader -> true;
      case 1 -> reader -> false;
      default -> reader -> reader.equals(only);
    };
  }

  private void partitionOrHeal() {
    Set<String> side = new HashSet<>();
    for (SimulatedEntry entry : entries) {
      if (random.nextBoolean()) {
        side.add(entry.self().peerAddress());
      }
    }
    boolean heal = random.nextBoolean();
    network.partition((from, to) -> !heal && side.contains(from) != side.contains(to));
  }

  private void restartSomeEntries() {
    int kept = random.nextInt(entries.size());
    int share = 1 + random.nextInt(4);
    for (int i = 0; i < entries.size(); i++) {
      if (i == kept || random.nextInt(share) != 0) {
        continue;
      }
      SimulatedEntry old = entries.get(i);
      violationsOfStoppedEntries += old.violations();
      old.kill();
      entries.set(i, startEntry(i));
    }
  }

  private boolean allEntriesAgree() {
    for (SimulatedEntry entry : entries) {
      ConfigView config = entry.view().config();
      boolean member = entry.view().members().self().flags().ready();
      if (!member
          || config.inForce().revision() != newestValidRevision
          || !seesAllOthersAlive(entry)) {
        return false;
      }
    }
    return true;
  }

  private boolean seesAllOthersAlive(SimulatedEntry entry) {
    long alive =
        entry.view().members().others().stream()
            .filter(other -> other.state() == MemberState.ALIVE)
            .count();
    return alive == entries.size() - 1L;
  }

  private String describeEntries() {
    StringBuilder text = new StringBuilder("newest good " + newestValidRevision);
    for (SimulatedEntry entry : entries) {
      ConfigView config = entry.view().config();
      long alive =
          entry.view().members().others().stream()
              .filter(other -> other.state() == MemberState.ALIVE)
              .count();
      text.append(
          String.format(
              "%n%s in force %s newest %s fetching %s alive %d ready %s: %s",
              entry.self().peerAddress(),
              config.inForce(),
              config.newest(),
              config.fetching(),
              alive,
              entry.view().ready(),
              entry.view().waitingFor()));
    }
    return text.toString();
  }
}
