package org.chivecross.cli.simulation;

/** Runs {@link FleetSimulation} once for each number of entries given as an argument. */
public final class FleetMain {

  private static final long SEED = 1;

  private FleetMain() {}

  /** Prints the figures for each number of entries. */
  public static void main(String[] arguments) {
    for (String entryCount : arguments) {
      new FleetSimulation(Integer.parseInt(entryCount), SEED).run();
    }
  }
}
