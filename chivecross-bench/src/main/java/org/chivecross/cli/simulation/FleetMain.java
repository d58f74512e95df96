package org.chivecross.cli.simulation;

/** Runs the fleet simulation for each number of entries given. */
public final class FleetMain {

  private static final long SEED = 1;

  private FleetMain() {}

  /** Prints the figures of each size. */
  public static void main(String[] arguments) {
    for (String size : arguments) {
      new FleetSimulation(Integer.parseInt(size), SEED).run();
    }
  }
}
