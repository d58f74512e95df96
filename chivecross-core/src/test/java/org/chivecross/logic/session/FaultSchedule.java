package org.chivecross.logic.session;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Runs one random schedule of calls and faults, drawn from a seed. Not thread-safe. */
final class FaultSchedule {

  private static final int STEPS = 60;
  private static final int DRAIN_STEPS = 2000;
  private static final int MAX_CALLS = 8;
  private static final int KEYS = 3;
  private static final List<String> CLASSES = List.of("write", "write", "upload", "read");
  private static final List<String> FAULTS = List.of("refuse", "lose", "shed", "busy", "drop");

  private final SplittableRandom random;
  private final VirtualFleet fleet;
  private final int entries;
  private final List<String> commands = new ArrayList<>();
  private int calls;
  private int kills;

  FaultSchedule(long seed, FleetSetup setup) {
    random = new SplittableRandom(seed);
    fleet = new VirtualFleet(setup);
    entries = setup.entries();
  }

  /** Returns broken rules; empty for a good run. */
  List<String> run() {
    for (int i = 0; i < STEPS; i++) {
      apply(next());
    }
    for (int i = 0; i < DRAIN_STEPS && !fleet.isSettled(); i++) {
      apply(progress());
    }
    List<String> found = new ArrayList<>(fleet.violations());
    if (!fleet.isSettled()) {
      found.add("not settled: " + fleet.fingerprint());
    }
    return found;
  }

  List<String> commands() {
    return commands;
  }

  VirtualFleet fleet() {
    return fleet;
  }

  private void apply(String command) {
    commands.add(command);
    fleet.apply(command);
  }

  private String next() {
    int draw = random.nextInt(100);
    if (calls == 0 || (calls < MAX_CALLS && draw < 15)) {
      return newCall();
    }
    if (draw < 18) {
      return "cancel r" + random.nextInt(calls);
    }
    if (draw < 21) {
      String owner = "e" + random.nextInt(entries);
      return "fence " + owner + "/k" + random.nextInt(KEYS) + "write at " + owner;
    }
    if (draw < 24) {
      return "pause " + random.nextInt(150);
    }
    if (draw < 25 && kills < entries - 1) {
      kills++;
      return "kill e" + random.nextInt(entries);
    }
    return progress();
  }

  private String newCall() {
    String requestClass = CLASSES.get(random.nextInt(CLASSES.size()));
    String call = "call r" + calls + " " + requestClass + " at e" + random.nextInt(entries);
    calls++;
    boolean keyed = !requestClass.equals("read") && random.nextInt(5) > 0;
    // Keys differ by class, as callers use one key for one operation.
    String key = " key e" + random.nextInt(entries) + "/k" + random.nextInt(KEYS) + requestClass;
    return keyed ? call + key : call;
  }

  /** Picks what can happen next; faults are rarer than progress. */
  private String progress() {
    List<String> enabled = fleet.enabled();
    if (enabled.isEmpty()) {
      return "pause 1";
    }
    for (int i = 0; i < 3; i++) {
      String command = enabled.get(random.nextInt(enabled.size()));
      boolean rare = command.equals("wake") || FAULTS.contains(command.split(" ", -1)[0]);
      if (!rare) {
        return command;
      }
    }
    return enabled.get(random.nextInt(enabled.size()));
  }
}
