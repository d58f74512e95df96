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
 * Simulation of a fleet of entries in virtual time. Measures how long a configuration change takes
 * to reach all entries (also if only one entry reaches the platform or one region is partitioned),
 * how fast failures are detected, and what the control traffic costs. Not thread-safe.
 */
public final class FleetSimulation {

  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int DATA_CENTRES = 11;
  private static final int REGIONS = 3;
  private static final int CONTACTS = 5;
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final int size;
  private final SplittableRandom random;
  private final VirtualTime time = new VirtualTime();
  private final FakeNetwork network;
  private final FakePlatform platform = new FakePlatform(time);
  private final List<SimulatedEntry> entries = new ArrayList<>();
  private final Map<String, Integer> regionByAddress = new HashMap<>();

  /** Creates a fleet of {@code size} entries, which {@link #run} starts. */
  public FleetSimulation(int size, long seed) {
    this.size = size;
    random = new SplittableRandom(seed);
    network = new FakeNetwork(time, random.split());
  }

  /** Runs all phases and prints one line for each figure. */
  public void run() {
    startEntries();
    print("start: all ready after s", seconds(nanosUntilInForce(1, entry -> true)));
    advanceSeconds(60);
    measureIdleCost();
    print("change, platform up: in force everywhere after s", secondsToApplyChange(entry -> true));
    measureChangeReadByOneEntry();
    measureRegionPartition();
    measureFailureDetection();
    measureFalseDetectionsInPauses();
    printPeakPlatformCalls();
  }

  private void startEntries() {
    List<String> contacts = new ArrayList<>();
    for (int i = 0; i < CONTACTS; i++) {
      contacts.add(address(i));
    }
    platform.publish("good", true);
    SimulatedEntry.Environment environment =
        new SimulatedEntry.Environment(
            time, network, platform, new SimulatedCheck(), TICK_NANOS, size, contacts);
    for (int i = 0; i < size; i++) {
      int dataCentre = i % DATA_CENTRES;
      regionByAddress.put(address(i), dataCentre % REGIONS);
      entries.add(
          new SimulatedEntry(environment, address(i), "dc" + dataCentre, random.nextLong()));
      advanceNanos(5 * SECOND_NANOS / size);
    }
  }

  private void measureIdleCost() {
    long[] bytesBefore = new long[size];
    for (int i = 0; i < size; i++) {
      bytesBefore[i] = network.bytesSent(address(i));
    }
    long callsBefore = platformCallCount();
    long cpuBefore = cpuNanos();
    advanceSeconds(60);
    double cpuPercent = 100.0 * (cpuNanos() - cpuBefore) / (60.0 * SECOND_NANOS) / size;
    List<Long> bytes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      bytes.add((network.bytesSent(address(i)) - bytesBefore[i]) / 60);
    }
    Collections.sort(bytes);
    print("idle: bytes sent per second, median", bytes.get(size / 2));
    print("idle: bytes sent per second, largest", bytes.get(size - 1));
    print("idle: CPU of one entry with a tick of 50 ms, % of a core", cpuPercent);
    print("idle: platform calls per minute, all entries", platformCallCount() - callsBefore);
    print("heap per entry, KB", heapBytes() / size / 1024);
  }

  private void measureChangeReadByOneEntry() {
    String onlyReader = address(size - 1);
    platform.setReachable(reader -> reader.equals(onlyReader));
    advanceSeconds(60);
    print("now, s since the start", seconds(time.now()));
    print(
        "change, platform reached by one entry: everywhere after s",
        secondsToApplyChange(entry -> true));
    platform.setReachable(reader -> true);
    advanceSeconds(60);
  }

  private void measureRegionPartition() {
    network.partition((from, to) -> isInPartitionedRegion(from) != isInPartitionedRegion(to));
    platform.setReachable(reader -> !isInPartitionedRegion(reader));
    advanceSeconds(30);
    Predicate<SimulatedEntry> connected = entry -> !isInPartitionedRegion(address(entry));
    print(
        "change, one region parted: in the other regions after s", secondsToApplyChange(connected));
    advanceSeconds(30);
    network.partition((from, to) -> false);
    platform.setReachable(reader -> true);
    long healedNanos = time.now();
    long revision = entries.get(1).view().config().inForce().revision();
    nanosUntilInForce(revision, entry -> true);
    print("healed: the parted region has the set after s", seconds(time.now() - healedNanos));
    while (!allSeeAllOthersAlive() && time.now() - healedNanos < 120 * SECOND_NANOS) {
      advanceNanos(STEP_NANOS);
    }
    print("healed: all entries see all after s", seconds(time.now() - healedNanos));
    advanceSeconds(60);
  }

  private void measureFailureDetection() {
    List<Long> detectionNanos = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      SimulatedEntry victim = entries.remove(random.nextInt(entries.size()));
      victim.kill();
      long killedNanos = time.now();
      while (!allSeeState(victim, MemberState.DEAD)
          && time.now() - killedNanos < 60 * SECOND_NANOS) {
        advanceNanos(STEP_NANOS);
      }
      detectionNanos.add(time.now() - killedNanos);
      advanceSeconds(2);
    }
    Collections.sort(detectionNanos);
    print("killed: dead in all views after s, median", seconds(detectionNanos.get(4)));
    print("killed: dead in all views after s, longest", seconds(detectionNanos.get(7)));
  }

  private void measureFalseDetectionsInPauses() {
    int falselyDead = 0;
    for (long millis : new long[] {200, 500, 1_000, 2_000}) {
      SimulatedEntry victim = entries.get(random.nextInt(entries.size()));
      victim.pause(TimeUnit.MILLISECONDS.toNanos(millis));
      long untilNanos = time.now() + 20 * SECOND_NANOS;
      boolean dead = false;
      while (time.now() < untilNanos) {
        advanceNanos(STEP_NANOS);
        dead |= anySeesState(victim, MemberState.DEAD);
      }
      falselyDead += dead ? 1 : 0;
    }
    print("pauses of 0.2, 0.5, 1 and 2 s: falsely dead", falselyDead);
  }

  private void printPeakPlatformCalls() {
    int peak = 0;
    long peakSecond = 0;
    for (Map.Entry<Long, Integer> calls : platform.callsBySecond().entrySet()) {
      if (calls.getValue() > peak) {
        peak = calls.getValue();
        peakSecond = calls.getKey();
      }
    }
    print("platform calls: most in one second of the run", peak);
    print("platform calls: that second, s since the start", peakSecond);
  }

  private double secondsToApplyChange(Predicate<SimulatedEntry> counted) {
    advanceNanos(random.nextLong(10 * SECOND_NANOS));
    return seconds(nanosUntilInForce(platform.publish("good", true), counted));
  }

  private long nanosUntilInForce(long revision, Predicate<SimulatedEntry> counted) {
    long startNanos = time.now();
    while (time.now() - startNanos < 300 * SECOND_NANOS) {
      boolean allInForce =
          entries.stream()
              .filter(counted)
              .allMatch(
                  entry ->
                      entry.view().config().inForce().revision() >= revision
                          && entry.view().ready());
      if (allInForce) {
        return time.now() - startNanos;
      }
      advanceNanos(STEP_NANOS);
    }
    return -SECOND_NANOS;
  }

  private boolean allSeeAllOthersAlive() {
    return entries.stream()
        .allMatch(
            entry ->
                entry.view().members().others().stream()
                        .filter(other -> other.state() == MemberState.ALIVE)
                        .count()
                    == entries.size() - 1L);
  }

  private boolean allSeeState(SimulatedEntry victim, MemberState state) {
    return entries.stream().allMatch(entry -> seesState(entry, victim, state));
  }

  private boolean anySeesState(SimulatedEntry victim, MemberState state) {
    return entries.stream()
        .filter(entry -> entry != victim)
        .anyMatch(entry -> seesState(entry, victim, state));
  }

  private static boolean seesState(SimulatedEntry entry, SimulatedEntry victim, MemberState state) {
    return entry
        .view()
        .members()
        .find(victim.self().incarnation())
        .map(EntryMember::state)
        .filter(state::equals)
        .isPresent();
  }

  private void advanceSeconds(long seconds) {
    advanceNanos(seconds * SECOND_NANOS);
  }

  private void advanceNanos(long nanos) {
    time.runUntil(time.now() + nanos);
  }

  private long platformCallCount() {
    return new TreeMap<>(platform.callsBySecond())
        .values().stream().mapToLong(Integer::longValue).sum();
  }

  private static String address(int i) {
    return "10.0." + i / 250 + "." + i % 250 + ":7400";
  }

  private static String address(SimulatedEntry entry) {
    return entry.self().peerAddress();
  }

  private boolean isInPartitionedRegion(String address) {
    return regionByAddress.getOrDefault(address, 0) == 0;
  }

  private static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long heapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static double seconds(long nanos) {
    return (double) nanos / SECOND_NANOS;
  }

  private void print(String what, double value) {
    System.out.printf("%d entries | %s | %.3f%n", size, what, value);
  }
}
