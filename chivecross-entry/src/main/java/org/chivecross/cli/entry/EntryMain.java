package org.chivecross.cli.entry;

import java.util.List;
import org.chivecross.logic.settings.ProgramLauncher;

/** Start of {@code chivecross-entry}. */
public final class EntryMain {

  private EntryMain() {}

  /** Runs the program and ends the process with its exit code. */
  public static void main(String[] arguments) {
    ProgramLauncher launcher =
        new ProgramLauncher("chivecross-entry", System.getenv(), System.out, System.err);
    System.exit(
        launcher.launch(
            new EntryOptions(), List.of(arguments), options -> ProgramLauncher.SUCCESS));
  }
}
