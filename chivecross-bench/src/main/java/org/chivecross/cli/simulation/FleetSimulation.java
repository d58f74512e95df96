package org.chivecross.cli.simulation;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.MemberState;

/**
 * Many entries in one process: times of a change, a partition of one region, failures, and what the
 * control costs. Not thread-safe.
 */
public final class FleetSimulation {

  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final int DATA_CENTRES = 11;
  private static final int REGIONS = 3;
  private static final int SEEDS = 5;
  private static final long STEP = TimeUnit.MILLISECONDS.toNanos(50);

  private final int size;
  private final SplittableRandom random;
  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network;
  private final FakePlatform platform = new FakePlatform(time);
  private final List<SimulatedEntry> entries = new ArrayList<>();
  private final Map<String, Integer> regions = new HashMap<>();

  /** Creates a fleet whose entries have not started. */
  public FleetSimulation(int size, long seed) {
    this.size = size;
    random = new SplittableRandom(seed);
    network = new FakeNetwork(time, random.split());
  }

  /** Runs all phases and prints one line for each figure. */
  public void run() {
    start();
    print("start: all ready after s", seconds(untilInForce(1, entry -> true)));
    idle(60);
    idleCost();
    print("change, platform up: in force everywhere after s", change(entry -> true));
    onlyOneReaches();
    partRegion();
    failures();
    pauses();
    platformCalls();
  }

  private void start() {
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < SEEDS; i++) {
      seeds.add(address(i));
    }
    platform.publish("good", true);
    SimulatedEntry.Surroundings around =
        new SimulatedEntry.Surroundings(
            time, network, platform, new SimulatedCheck(), TICK_NANOS, size, seeds);
    for (int i = 0; i < size; i++) {
      int dataCentre = i % DATA_CENTRES;
      regions.put(address(i), dataCentre % REGIONS);
      entries.add(new SimulatedEntry(around, address(i), "dc" + dataCentre, random.nextLong()));
      idleNanos(5 * SECOND / size);
    }
  }

  private void idleCost() {
    long[] before = new long[size];
    for (int i = 0; i < size; i++) {
      before[i] = network.bytesSent(address(i));
    }
    long callsBefore = calls();
    long cpuBefore = cpu();
    idle(60);
    double cpuPercent = 100.0 * (cpu() - cpuBefore) / (60.0 * SECOND) / size;
    List<Long> bytes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      bytes.add((network.bytesSent(address(i)) - before[i]) / 60);
    }
    Collections.sort(bytes);
    print("idle: bytes sent per second, median", bytes.get(size / 2));
    print("idle: bytes sent per second, largest", bytes.get(size - 1));
    print("idle: CPU of one entry with a tick of 50 ms, % of a core", cpuPercent);
    print("idle: platform calls per minute, all entries", calls() - callsBefore);
    print("heap per entry, KB", heap() / size / 1024);
  }

  private void onlyOneReaches() {
    String only = address(size - 1);
    platform.setReachable(reader -> reader.equals(only));
    idle(60);
    print("change, platform reached by one entry: everywhere after s", change(entry -> true));
    platform.setReachable(reader -> true);
    idle(60);
  }

  private void partRegion() {
    network.cut((from, to) -> isParted(from) != isParted(to));
    platform.setReachable(reader -> !isParted(reader));
    idle(30);
    Predicate<SimulatedEntry> connected = entry -> !isParted(address(entry));
    print("change, one region parted: in the other regions after s", change(connected));
    idle(30);
    network.cut((from, to) -> false);
    platform.setReachable(reader -> true);
    long healed = time.now();
    long revision = entries.get(1).view().config().inForce().revision();
    untilInForce(revision, entry -> true);
    print("healed: the parted region has the set after s", seconds(time.now() - healed));
    while (!allSeeAll() && time.now() - healed < 120 * SECOND) {
      idleNanos(STEP);
    }
    print("healed: all entries see all after s", seconds(time.now() - healed));
    idle(60);
  }

  private void failures() {
    List<Long> detections = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      SimulatedEntry victim = entries.remove(random.nextInt(entries.size()));
      victim.kill();
      long killed = time.now();
      while (!allBelieve(victim, MemberState.DEAD) && time.now() - killed < 60 * SECOND) {
        idleNanos(STEP);
      }
      detections.add(time.now() - killed);
      idle(2);
    }
    Collections.sort(detections);
    print("killed: dead in all views after s, median", seconds(detections.get(4)));
    print("killed: dead in all views after s, longest", seconds(detections.get(7)));
  }

  private void pauses() {
    int buried = 0;
    for (long millis : new long[] {200, 500, 1_000, 2_000}) {
      SimulatedEntry victim = entries.get(random.nextInt(entries.size()));
      victim.pause(TimeUnit.MILLISECONDS.toNanos(millis));
      long until = time.now() + 20 * SECOND;
      boolean dead = false;
      while (time.now() < until) {
        idleNanos(STEP);
        dead |= anyBelieves(victim, MemberState.DEAD);
      }
      buried += dead ? 1 : 0;
    }
    print("pauses of 0.2, 0.5, 1 and 2 s: falsely dead", buried);
  }

  private void platformCalls() {
    int peak =
        platform.callsBySecond().values().stream().mapToInt(Integer::intValue).max().orElse(0);
    print("platform calls: most in one second of the run", peak);
  }

  private double change(Predicate<SimulatedEntry> counted) {
    idleNanos(random.nextLong(10 * SECOND));
    return seconds(untilInForce(platform.publish("good", true), counted));
  }

  private long untilInForce(long revision, Predicate<SimulatedEntry> counted) {
    long start = time.now();
    while (time.now() - start < 300 * SECOND) {
      boolean all =
          entries.stream()
              .filter(counted)
              .allMatch(
                  entry ->
                      entry.view().config().inForce().revision() >= revision
                          && entry.view().ready());
      if (all) {
        return time.now() - start;
      }
      idleNanos(STEP);
    }
    return -SECOND;
  }

  private boolean allSeeAll() {
    return entries.stream()
        .allMatch(
            entry ->
                entry.view().members().others().stream()
                        .filter(other -> other.state() == MemberState.ALIVE)
                        .count()
                    == entries.size() - 1L);
  }

  private boolean allBelieve(SimulatedEntry victim, MemberState state) {
    return entries.stream().allMatch(entry -> believes(entry, victim, state));
  }

  private boolean anyBelieves(SimulatedEntry victim, MemberState state) {
    return entries.stream()
        .filter(entry -> entry != victim)
        .anyMatch(entry -> believes(entry, victim, state));
  }

  private static boolean believes(SimulatedEntry entry, SimulatedEntry victim, MemberState state) {
    return entry
        .view()
        .members()
        .find(victim.self().incarnation())
        .map(EntryMember::state)
        .filter(state::equals)
        .isPresent();
  }

  private void idle(long seconds) {
    idleNanos(seconds * SECOND);
  }

  private void idleNanos(long nanos) {
    time.runUntil(time.now() + nanos);
  }

  private long calls() {
    return new TreeMap<>(platform.callsBySecond())
        .values().stream().mapToLong(Integer::longValue).sum();
  }

  private static String address(int i) {
    return "10.0." + i / 250 + "." + i % 250 + ":7400";
  }

  private static String address(SimulatedEntry entry) {
    return entry.self().peerAddress();
  }

  private boolean isParted(String address) {
    return regions.getOrDefault(address, 0) == 0;
  }

  private static long cpu() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long heap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static double seconds(long nanos) {
    return (double) nanos / SECOND;
  }

  private void print(String what, double value) {
    System.out.printf("%d entries | %s | %.3f%n", size, what, value);
  }
}
