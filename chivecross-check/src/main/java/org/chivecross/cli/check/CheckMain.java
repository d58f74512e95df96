package org.chivecross.cli.check;

import java.util.List;
import org.chivecross.logic.settings.ProgramLauncher;

/** Main class of {@code chivecross-check}. */
public final class CheckMain {

  private CheckMain() {}

  /** Runs the program and ends the process with its exit code. */
  public static void main(String[] arguments) {
    ProgramLauncher launcher =
        new ProgramLauncher("chivecross-check", System.getenv(), System.out, System.err);
    System.exit(
        launcher.launch(
            new CheckOptions(),
            List.of(arguments),
            options -> new CheckRun(options.toPreferences(), System.out, System.err).run()));
  }
}
