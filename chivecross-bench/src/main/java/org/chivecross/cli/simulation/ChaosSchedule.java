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
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(8);
  private static final int FAULT_KINDS = 9;
  private static final int DATA_CENTRES = 3;

  private final SplittableRandom random;
  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network;
  private final FakePlatform platform = new FakePlatform(time);
  private final SimulatedCheck check = new SimulatedCheck();
  private final List<SimulatedEntry> entries = new ArrayList<>();
  private final SimulatedEntry.Surroundings around;
  private final int steps;
  private long newestGood;
  private int endedViolations;

  /**
   * Creates a schedule.
   *
   * @param seed seed of everything random
   * @param size number of entries, at least 2
   * @param steps number of faults
   */
  public ChaosSchedule(long seed, int size, int steps) {
    this.steps = steps;
    random = new SplittableRandom(seed);
    network = new FakeNetwork(time, random.split());
    List<String> contacts = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      contacts.add(address(i));
    }
    around =
        new SimulatedEntry.Surroundings(time, network, platform, check, TICK_NANOS, size, contacts);
    for (int i = 0; i < size; i++) {
      entries.add(start(i));
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
    for (int i = 0; i < steps; i++) {
      fault();
      time.runUntil(time.now() + random.nextLong(2 * STEP_NANOS));
    }
    network.cut((from, to) -> false);
    network.lose(0);
    platform.setReachable(reader -> true);
    platform.setStale(false);
    publish("good", true);
    long healed = time.now();
    while (!agree() && time.now() - healed < boundNanos) {
      time.runUntil(time.now() + STEP_NANOS / 5);
    }
    long agreed = agree() ? time.now() - healed : -1;
    int violations = endedViolations + check.mixedSets();
    for (SimulatedEntry entry : entries) {
      violations += entry.violations();
    }
    return new Verdict(violations, agreed, state());
  }

  private static String address(int i) {
    return "10.0.0." + i + ":7400";
  }

  private SimulatedEntry start(int i) {
    return new SimulatedEntry(around, address(i), "dc" + i % DATA_CENTRES, random.nextLong());
  }

  private void publish(String word, boolean complete) {
    long revision = platform.publish(word, complete);
    if (complete && !word.equals(SimulatedCheck.BAD_WORD)) {
      newestGood = revision;
    }
  }

  private void fault() {
    switch (random.nextInt(FAULT_KINDS)) {
      case 0 -> publish("good", true);
      case 1 -> publish(random.nextBoolean() ? SimulatedCheck.BAD_WORD : "good", false);
      case 2 -> publish(SimulatedCheck.BAD_WORD, true);
      case 3 -> platform.setReachable(reachable(random.nextInt(3)));
      case 4 -> {
        if (random.nextBoolean()) {
          platform.goBack(1 + random.nextInt(2));
        } else {
          platform.setStale(random.nextBoolean());
        }
      }
      case 5 -> part();
      case 6 -> network.lose(random.nextBoolean() ? 0 : random.nextDouble() / 4);
      case 7 -> entries.get(random.nextInt(entries.size())).pause(random.nextLong(20 * STEP_NANOS));
      default -> restart();
    }
  }

  private Predicate<String> reachable(int kind) {
    String only = address(random.nextInt(entries.size()));
    return switch (kind) {
      case 0 -> reader -> true;
      case 1 -> reader -> false;
      default -> reader -> reader.equals(only);
    };
  }

  private void part() {
    Set<String> side = new HashSet<>();
    for (SimulatedEntry entry : entries) {
      if (random.nextBoolean()) {
        side.add(entry.self().peerAddress());
      }
    }
    boolean heal = random.nextBoolean();
    network.cut((from, to) -> !heal && side.contains(from) != side.contains(to));
  }

  private void restart() {
    int kept = random.nextInt(entries.size());
    int share = 1 + random.nextInt(4);
    for (int i = 0; i < entries.size(); i++) {
      if (i == kept || random.nextInt(share) != 0) {
        continue;
      }
      SimulatedEntry old = entries.get(i);
      endedViolations += old.violations();
      old.kill();
      entries.set(i, start(i));
    }
  }

  private boolean agree() {
    for (SimulatedEntry entry : entries) {
      ConfigView config = entry.view().config();
      boolean member = entry.view().members().self().flags().ready();
      if (!member || config.inForce().revision() != newestGood || !seesAll(entry)) {
        return false;
      }
    }
    return true;
  }

  private boolean seesAll(SimulatedEntry entry) {
    long alive =
        entry.view().members().others().stream()
            .filter(other -> other.state() == MemberState.ALIVE)
            .count();
    return alive == entries.size() - 1L;
  }

  private String state() {
    StringBuilder text = new StringBuilder("newest good " + newestGood);
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
