package org.chivecross.cli.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.engine.EnginePreferences;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.peer.LeavingMark;

/**
 * Simulation model of the entries and targets of one deployment in virtual time. The result of a
 * run depends only on the scenario, the policy and the seed. Not thread-safe.
 */
final class ClusterModel {

  static final long NANOS_PER_MILLI = 1_000_000;
  static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

  /** Time from the end of the warm-up to the start of the fault, in ns. */
  static final long FAULT_START_NANOS = 3 * NANOS_PER_SECOND;

  /** Duration of an overload, in ns. */
  static final long OVERLOAD_NANOS = 10 * NANOS_PER_SECOND;

  private static final double MEAN_WORK_NANOS = 5.0 * NANOS_PER_MILLI;
  private static final double FIXED_WORK_FRACTION = 0.5;
  private static final long TICK_INTERVAL_NANOS = 5 * NANOS_PER_MILLI;
  private static final long PEER_MESSAGE_INTERVAL_NANOS = 500 * NANOS_PER_MILLI;
  private static final long WARM_UP_NANOS = 2 * NANOS_PER_SECOND;
  private static final long LOCAL_ROUND_TRIP_NANOS = 100_000;
  private static final double NOISE_SPEED_FACTOR = 0.1;
  private static final int TARGETS_PER_NOISE_SOURCE = 8;
  private static final long MIN_NOISE_NANOS = 50 * NANOS_PER_MILLI;
  private static final long NOISE_RANGE_NANOS = 450 * NANOS_PER_MILLI;
  private static final double MEAN_NOISE_GAP_NANOS = 500.0 * NANOS_PER_MILLI;
  private static final double OVERLOAD_FRACTION = 1.5;
  private static final double COLD_START_SPEED_FACTOR = 1.0 / 3;
  private static final long COLD_START_NANOS = 5 * NANOS_PER_SECOND;

  private final Scenario scenario;
  private final PolicyCase policy;
  private final EventQueue events = new EventQueue();
  private final RandomGenerator arrivals;
  private final RandomGenerator noise;
  private final RandomGenerator network;
  private final Map<String, SlottedTarget> targets = new HashMap<>();
  private final Map<String, String> targetDataCentres = new HashMap<>();
  private final List<ModelEntry> entries = new ArrayList<>();
  private final RunResult result;

  ClusterModel(Scenario scenario, PolicyCase policy, long seed) {
    this.scenario = scenario;
    this.policy = policy;
    arrivals = random(seed);
    noise = random(seed + 1_000);
    network = random(seed + 2_000);
    result = new RunResult(scenario.serviceTargets().size());
    for (int s = 0; s < scenario.serviceTargets().size(); s++) {
      for (int t = 0; t < scenario.serviceTargets().get(s); t++) {
        String address = FileSets.address(s, t);
        targets.put(
            address,
            new SlottedTarget(
                events, scenario.slots(), scenario.reportDelayMillis() * NANOS_PER_MILLI));
        targetDataCentres.put(address, FileSets.dataCentre(t));
      }
    }
    boolean firstTargetJoinsLater = scenario.fault() == Scenario.Fault.COLD_START;
    FileSet set = FileSets.of(scenario, policy.hedgeFraction(), firstTargetJoinsLater ? 1 : 0);
    for (int e = 0; e < scenario.entries(); e++) {
      String dataCentre = FileSets.dataCentre(e);
      EnginePreferences preferences =
          new EnginePreferences("entry-" + e, dataCentre, 256, 16, 4096);
      BalancerEngine engine =
          new BalancerEngine(preferences, random(seed * 100 + e), policy.factory());
      engine.apply(set, 0);
      entries.add(new ModelEntry(this, dataCentre, engine));
    }
  }

  /** Runs the scenario and returns its result, with latencies and failures after the warm-up. */
  RunResult run() {
    for (int s = 0; s < scenario.serviceTargets().size(); s++) {
      scheduleArrival(s);
      startNoise(s);
    }
    scheduleTicks();
    schedulePeerMessages();
    events.after(WARM_UP_NANOS + FAULT_START_NANOS, this::startFault);
    events.runUntil(WARM_UP_NANOS + scenario.seconds() * NANOS_PER_SECOND);
    return result;
  }

  EventQueue events() {
    return events;
  }

  long now() {
    return events.now();
  }

  SlottedTarget target(String address) {
    return Objects.requireNonNull(targets.get(address), address);
  }

  long oneWayNanos(String entryDataCentre, String address, RandomGenerator random) {
    long roundTrip = LOCAL_ROUND_TRIP_NANOS;
    if (!entryDataCentre.equals(targetDataCentres.get(address))) {
      roundTrip += scenario.linkMicros() * 1_000L;
    }
    return roundTrip / 2;
  }

  /**
   * Returns the row of the target with the lowest true load if the policy is omniscient, otherwise
   * {@link TargetSelector#NONE}.
   */
  int omniscientTarget(int service, int excluded, BalancerEngine engine) {
    if (!policy.omniscient()) {
      return TargetSelector.NONE;
    }
    int best = TargetSelector.NONE;
    int bestLoad = Integer.MAX_VALUE;
    int count = scenario.serviceTargets().get(service);
    int start = network.nextInt(count);
    for (int i = 0; i < count; i++) {
      String address = FileSets.address(service, (start + i) % count);
      int load = target(address).trueLoad();
      int row = engine.targetRow(address);
      if (load < bestLoad && row != excluded) {
        best = row;
        bestLoad = load;
      }
    }
    return best;
  }

  void hedgeSent() {
    result.countHedged();
  }

  void requestRefused(int service) {
    result.countRefused();
  }

  void requestServed(int service, long startNanos) {
    if (startNanos >= WARM_UP_NANOS) {
      result.recordServed(service, startNanos - WARM_UP_NANOS, now() - startNanos);
    }
  }

  /** Counts an attempt that was sent to a target. */
  void attemptSent(SlottedTarget target) {
    result.countSent();
    boolean isDrain = scenario.fault() == Scenario.Fault.DRAIN;
    if (isDrain && target == target(FileSets.address(0, 0))) {
      result.recordSentToFaulty(now() - WARM_UP_NANOS);
    }
  }

  void requestFailed(int service, long startNanos) {
    if (startNanos >= WARM_UP_NANOS) {
      result.countFailed();
    }
  }

  private void scheduleArrival(int service) {
    int slots = scenario.serviceTargets().get(service) * scenario.slots();
    double meanGapNanos = MEAN_WORK_NANOS / (slots * load());
    events.after((long) exponential(arrivals, meanGapNanos), () -> arrive(service));
  }

  private void arrive(int service) {
    scheduleArrival(service);
    double workNanos =
        MEAN_WORK_NANOS * FIXED_WORK_FRACTION
            + exponential(arrivals, MEAN_WORK_NANOS * (1 - FIXED_WORK_FRACTION));
    ModelEntry entry = entries.get(arrivals.nextInt(entries.size()));
    result.countArrived();
    entry.arrive(service, workNanos, network);
  }

  private double load() {
    long sinceFaultNanos = now() - WARM_UP_NANOS - FAULT_START_NANOS;
    boolean isOverload = scenario.fault() == Scenario.Fault.OVERLOAD;
    return isOverload && sinceFaultNanos >= 0 && sinceFaultNanos < OVERLOAD_NANOS
        ? OVERLOAD_FRACTION
        : scenario.load();
  }

  private void startFault() {
    for (int s = 0; s < scenario.serviceTargets().size(); s++) {
      SlottedTarget target = target(FileSets.address(s, 0));
      switch (scenario.fault()) {
        case FAIL_FAST -> target.setFailsRequests(true);
        case LYING_REPORTS -> target.setReportsNoLoad(true);
        case DRAIN -> target.setLeaving(true);
        case COLD_START -> {
          target.setSpeed(COLD_START_SPEED_FACTOR);
          events.after(COLD_START_NANOS, () -> target.setSpeed(1));
        }
        default -> {}
      }
    }
    if (scenario.fault() == Scenario.Fault.COLD_START) {
      FileSet allTargets = FileSets.of(scenario, policy.hedgeFraction(), 0);
      entries.forEach(entry -> entry.engine().apply(allTargets, now()));
    }
  }

  private void startNoise(int service) {
    if (!scenario.noisy()) {
      return;
    }
    int count = scenario.serviceTargets().get(service);
    for (int n = 0; n < Math.max(1, count / TARGETS_PER_NOISE_SOURCE); n++) {
      events.after(
          (long) exponential(noise, MEAN_NOISE_GAP_NANOS), () -> slowRandomTarget(service));
    }
  }

  private void slowRandomTarget(int service) {
    int count = scenario.serviceTargets().get(service);
    SlottedTarget target = target(FileSets.address(service, noise.nextInt(count)));
    long durationNanos = MIN_NOISE_NANOS + (long) (noise.nextDouble() * NOISE_RANGE_NANOS);
    target.setSpeed(NOISE_SPEED_FACTOR);
    events.after(
        durationNanos,
        () -> {
          target.setSpeed(1);
          events.after(
              (long) exponential(noise, MEAN_NOISE_GAP_NANOS), () -> slowRandomTarget(service));
        });
  }

  private void scheduleTicks() {
    events.after(
        TICK_INTERVAL_NANOS,
        () -> {
          for (ModelEntry entry : entries) {
            entry.engine().tick(now());
          }
          scheduleTicks();
        });
  }

  private void schedulePeerMessages() {
    events.after(
        PEER_MESSAGE_INTERVAL_NANOS,
        () -> {
          List<LeavingMark> marks = new ArrayList<>();
          entries.forEach(entry -> marks.addAll(entry.engine().leavingMarks(now())));
          entries.forEach(entry -> entry.engine().mergeLeavingMarks(marks, now()));
          schedulePeerMessages();
        });
  }

  private static double exponential(RandomGenerator random, double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private static RandomGenerator random(long seed) {
    return RandomGeneratorFactory.of("SplittableRandom").create(seed);
  }
}
