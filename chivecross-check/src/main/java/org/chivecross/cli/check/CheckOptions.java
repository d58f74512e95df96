package org.chivecross.cli.check;

import java.nio.file.Path;
import org.chivecross.logic.settings.AllowedRange;
import org.chivecross.logic.settings.ProgramOptions;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Flags of {@code chivecross-check}. Not thread-safe. */
final class CheckOptions extends ProgramOptions {

  @Argument(required = true, metaVar = "DIR", usage = "directory of the file set")
  private Path directory = Path.of(".");

  @Option(
      name = "--pack",
      metaVar = "OUT",
      usage = "directory for the values to publish; it must be empty or not exist")
  private String pack = "";

  @AllowedRange(min = 0, max = Integer.MAX_VALUE)
  @Option(
      name = "--epoch",
      metaVar = "NUMBER",
      usage = "first part of the version; raise it only after the platform was rebuilt")
  private long epoch;

  @Option(name = "--json", usage = "print the result as JSON")
  private boolean json;

  /** Returns the immutable preferences. */
  CheckPreferences toPreferences() {
    return new CheckPreferences(directory, pack, epoch, json);
  }
}
