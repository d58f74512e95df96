package org.chivecross.cli.history;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.chivecross.logic.settings.ProgramOptions;
import org.kohsuke.args4j.Argument;

/** Arguments of {@code chivecross-history}. Not thread-safe. */
final class HistoryOptions extends ProgramOptions {

  @Argument(metaVar = "FILE", usage = "history files of one run")
  private List<Path> files = new ArrayList<>();

  List<Path> files() {
    return List.copyOf(files);
  }
}
