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
 * A seeded random schedule of faults against simulated entries. File sets are published while the
 * platform is unreachable or stale, the network is partitioned or loses messages, and processes
 * pause and restart; at least one process survives each restart. Then all faults end, and all
 * entries must agree on the configuration and the members. Not thread-safe.
 */
public final class ChaosSchedule {

  /**
   * Outcome of one schedule.
   *
   * @param violations how often an older version or a mixed set was put in force
   * @param agreedNanos time from the end of all faults until all entries agree on the newest valid
   *     set and on the members, or -1 if they did not within the bound
   * @param state configuration versions and members of each entry at the end
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
   * @param seed seed of all random choices
   * @param entryCount number of entries, at least 2
   * @param faultCount number of faults
   */
  public ChaosSchedule(long seed, int entryCount, int faultCount) {
    this.faultCount = faultCount;
    random = new SplittableRandom(seed);
    network = new FakeNetwork(time, random.split());
    List<String> contacts = new ArrayList<>();
    for (int i = 0; i < entryCount; i++) {
      contacts.add(address(i));
    }
    environment =
        new SimulatedEntry.Environment(
            time, network, platform, check, TICK_NANOS, entryCount, contacts);
    for (int i = 0; i < entryCount; i++) {
      entries.add(startEntry(i));
    }
  }

  /**
   * Runs the schedule.
   *
   * @param boundNanos time after the end of all faults within which all entries must agree
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
    long healedNanos = time.now();
    while (!allEntriesAgree() && time.now() - healedNanos < boundNanos) {
      time.runUntil(time.now() + MEAN_FAULT_GAP_NANOS / 5);
    }
    long agreedNanos = allEntriesAgree() ? time.now() - healedNanos : -1;
    int violations = violationsOfStoppedEntries + check.mixedSets();
    for (SimulatedEntry entry : entries) {
      violations += entry.violations();
    }
    return new Verdict(violations, agreedNanos, describeEntries());
  }

  private static String address(int i) {
    return "10.0.0." + i + ":7400";
  }

  private SimulatedEntry startEntry(int i) {
    return new SimulatedEntry(environment, address(i), "dc" + i % DATA_CENTRES, random.nextLong());
  }

  private void publish(String marker, boolean complete) {
    long revision = platform.publish(marker, complete);
    if (complete && !marker.equals(SimulatedCheck.INVALID_MARKER)) {
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
    String onlyReader = address(random.nextInt(entries.size()));
    return switch (kind) {
      case 0 -> reader -> true;
      case 1 -> reader -> false;
      default -> reader -> reader.equals(onlyReader);
    };
  }

  private void partitionOrHeal() {
    Set<String> oneSide = new HashSet<>();
    for (SimulatedEntry entry : entries) {
      if (random.nextBoolean()) {
        oneSide.add(entry.self().peerAddress());
      }
    }
    boolean heal = random.nextBoolean();
    network.partition((from, to) -> !heal && oneSide.contains(from) != oneSide.contains(to));
  }

  private void restartSomeEntries() {
    int survivor = random.nextInt(entries.size());
    int restartOneIn = 1 + random.nextInt(4);
    for (int i = 0; i < entries.size(); i++) {
      if (i == survivor || random.nextInt(restartOneIn) != 0) {
        continue;
      }
      SimulatedEntry stopped = entries.get(i);
      violationsOfStoppedEntries += stopped.violations();
      stopped.kill();
      entries.set(i, startEntry(i));
    }
  }

  private boolean allEntriesAgree() {
    for (SimulatedEntry entry : entries) {
      ConfigView config = entry.view().config();
      boolean ready = entry.view().members().self().flags().ready();
      if (!ready
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
    StringBuilder text = new StringBuilder("newest valid " + newestValidRevision);
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
