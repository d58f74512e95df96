package org.chivecross.cli.standin;

import java.util.List;
import org.chivecross.logic.settings.ProgramLauncher;

/** Start of {@code chivecross-standin}. */
public final class StandinMain {

  private StandinMain() {}

  /** Runs the program and ends the process with its exit code. */
  public static void main(String[] arguments) {
    ProgramLauncher launcher =
        new ProgramLauncher("chivecross-standin", System.getenv(), System.out, System.err);
    System.exit(
        launcher.launch(
            new StandinOptions(), List.of(arguments), options -> ProgramLauncher.SUCCESS));
  }
}
