package org.chivecross.logic.settings;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.chivecross.model.failure.Result;

/**
 * Launches a program: parses its settings, handles {@code --help} and {@code --version}, and on an
 * invalid setting prints one line and returns {@link #BAD_SETTING}. Not thread-safe.
 */
public final class ProgramLauncher {

  /** Exit code of a successful run. */
  public static final int SUCCESS = 0;

  /** Exit code of a run whose check found a problem. */
  public static final int FAILURE = 1;

  /** Exit code of a run with an invalid setting. */
  public static final int BAD_SETTING = 2;

  private static final String HELP_FLAG = "--help";
  private static final String VERSION = "0.1.0";

  private final String program;
  private final Map<String, String> environment;
  private final PrintStream out;
  private final PrintStream err;

  /** Creates a launcher that prints to the given streams. */
  public ProgramLauncher(
      String program, Map<String, String> environment, PrintStream out, PrintStream err) {
    this.program = program;
    this.environment = environment;
    this.out = out;
    this.err = err;
  }

  /**
   * Runs a program.
   *
   * @param options options object to fill
   * @param arguments command line
   * @param run body of the program; returns the exit code
   * @return exit code
   */
  public <T extends ProgramOptions> int launch(
      T options, List<String> arguments, ToIntFunction<T> run) {
    SettingsParser parser = new SettingsParser(program, environment);
    // The help text shows the defaults, so it is created before parsing replaces them.
    String help = arguments.contains(HELP_FLAG) ? parser.help(options) : "";
    Result<T> parsed = parser.parse(options, arguments);
    if (parsed instanceof Result.Failed<T> failed) {
      err.println(program + ": " + failed.failures().get(0).detail());
      return BAD_SETTING;
    }
    if (options.isHelp()) {
      out.print(help);
      return SUCCESS;
    }
    if (options.isVersion()) {
      out.println(program + " " + VERSION);
      return SUCCESS;
    }
    return run.applyAsInt(options);
  }
}
