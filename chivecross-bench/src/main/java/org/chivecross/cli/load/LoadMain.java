package org.chivecross.cli.load;

import java.util.List;
import org.chivecross.logic.settings.ProgramLauncher;

/** Start of {@code chivecross-load}. */
public final class LoadMain {

  private LoadMain() {}

  /** Runs the program and ends the process with its exit code. */
  public static void main(String[] arguments) {
    ProgramLauncher launcher =
        new ProgramLauncher("chivecross-load", System.getenv(), System.out, System.err);
    System.exit(
        launcher.launch(new LoadOptions(), List.of(arguments), options -> ProgramLauncher.SUCCESS));
  }
}
