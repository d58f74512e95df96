package org.chivecross.cli.admin;

import java.util.ArrayList;
import java.util.List;
import org.chivecross.logic.settings.ProgramLauncher;

/** Main class of {@code chivecross-admin}. */
public final class AdminMain {

  private static final String VERSION = "--version";

  private AdminMain() {}

  /** Runs the program and ends the process with its exit code. */
  public static void main(String[] arguments) {
    ProgramLauncher launcher =
        new ProgramLauncher("chivecross-admin", System.getenv(), System.out, System.err);
    System.exit(
        launcher.launch(new AdminOptions(), renameVersionFlag(List.of(arguments)), AdminMain::run));
  }

  private static int run(AdminOptions options) {
    AdminPreferences preferences = options.toPreferences();
    AdminClient client = new AdminClient(preferences.token());
    return new AdminRun(preferences, client, WaitClock.SYSTEM, System.out, System.err).run();
  }

  /**
   * Renames {@code --version} to {@code --config-version} for the wait command, where it means the
   * version to wait for. With other commands it shows the version of the program.
   */
  static List<String> renameVersionFlag(List<String> arguments) {
    List<String> renamed = new ArrayList<>();
    boolean isWaitCommand = arguments.contains("wait");
    for (String argument : arguments) {
      boolean isVersion = argument.equals(VERSION) || argument.startsWith(VERSION + "=");
      renamed.add(isWaitCommand && isVersion ? argument.replaceFirst("--", "--config-") : argument);
    }
    return renamed;
  }
}
