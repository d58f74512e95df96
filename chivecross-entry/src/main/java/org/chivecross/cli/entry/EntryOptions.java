package org.chivecross.cli.entry;

import java.nio.file.Path;
import org.chivecross.logic.settings.ProgramOptions;
import org.kohsuke.args4j.Option;

/** Flags of {@code chivecross-entry}. Not thread-safe. */
final class EntryOptions extends ProgramOptions {

  @Option(name = "--listen", metaVar = "HOST:PORT", usage = "address for callers")
  private String listen = "127.0.0.1:8000";

  @Option(name = "--files", metaVar = "DIR", usage = "directory of the file set to serve")
  private Path files = Path.of(".");

  String listen() {
    return listen;
  }

  Path files() {
    return files;
  }
}
