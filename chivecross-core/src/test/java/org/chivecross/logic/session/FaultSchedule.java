package org.chivecross.logic.session;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Random schedule of calls and faults, generated from a seed. Not thread-safe. */
final class FaultSchedule {

  private static final int STEPS = 60;
  private static final int MAX_DRAIN_STEPS = 2000;
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

  /** Runs the schedule and returns the violated rules. */
  List<String> run() {
    for (int i = 0; i < STEPS; i++) {
      apply(nextCommand());
    }
    for (int i = 0; i < MAX_DRAIN_STEPS && !fleet.isSettled(); i++) {
      apply(progressCommand());
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

  private String nextCommand() {
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
    return progressCommand();
  }

  private String newCall() {
    String requestClass = CLASSES.get(random.nextInt(CLASSES.size()));
    String call = "call r" + calls + " " + requestClass + " at e" + random.nextInt(entries);
    calls++;
    boolean keyed = !requestClass.equals("read") && random.nextInt(5) > 0;
    // Keys differ between request classes, because callers use a key for one operation only.
    String key = " key e" + random.nextInt(entries) + "/k" + random.nextInt(KEYS) + requestClass;
    return keyed ? call + key : call;
  }

  /** Returns a possible command at random; faults are less frequent than progress. */
  private String progressCommand() {
    List<String> enabled = fleet.enabled();
    if (enabled.isEmpty()) {
      return "pause 1";
    }
    for (int i = 0; i < 3; i++) {
      String command = enabled.get(random.nextInt(enabled.size()));
      boolean isRare = command.equals("wake") || FAULTS.contains(command.split(" ", -1)[0]);
      if (!isRare) {
        return command;
      }
    }
    return enabled.get(random.nextInt(enabled.size()));
  }
}
