package org.chivecross.cli.standin;

import java.util.List;
import org.chivecross.cli.standin.platform.PlatformOptions;
import org.chivecross.cli.standin.platform.PlatformProgram;
import org.chivecross.cli.standin.upstream.UpstreamOptions;
import org.chivecross.cli.standin.upstream.UpstreamProgram;
import org.chivecross.logic.settings.ProgramLauncher;

/** Main class of {@code chivecross-standin}; the first argument selects the stand-in. */
public final class StandinMain {

  private static final String PROGRAM = "chivecross-standin";
  private static final String USAGE = "usage: " + PROGRAM + " platform|upstream [flags]";

  private StandinMain() {}

  /** Runs the program and ends the process with its exit code. */
  public static void main(String[] arguments) {
    System.exit(run(List.of(arguments)));
  }

  private static int run(List<String> arguments) {
    if (arguments.isEmpty()) {
      System.err.println(USAGE);
      return ProgramLauncher.BAD_SETTING;
    }
    String kind = arguments.get(0);
    List<String> flags = arguments.subList(1, arguments.size());
    ProgramLauncher launcher =
        new ProgramLauncher(PROGRAM + " " + kind, System.getenv(), System.out, System.err);
    switch (kind) {
      case "platform":
        return launcher.launch(new PlatformOptions(), flags, PlatformProgram::run);
      case "upstream":
        return launcher.launch(new UpstreamOptions(), flags, UpstreamProgram::run);
      case "--help":
        System.out.println(USAGE);
        return ProgramLauncher.SUCCESS;
      default:
        System.err.println(PROGRAM + ": got \"" + kind + "\", allowed: platform, upstream");
        return ProgramLauncher.BAD_SETTING;
    }
  }
}
