package org.chivecross.cli.admin;

import java.util.List;
import org.chivecross.logic.settings.ProgramLauncher;

/** Start of {@code chivecross-admin}. */
public final class AdminMain {

  private AdminMain() {}

  /** Runs the program and ends the process with its exit code. */
  public static void main(String[] arguments) {
    ProgramLauncher launcher =
        new ProgramLauncher("chivecross-admin", System.getenv(), System.out, System.err);
    System.exit(
        launcher.launch(
            new AdminOptions(), List.of(arguments), options -> ProgramLauncher.SUCCESS));
  }
}
