package org.chivecross.cli.standin.upstream;

import java.nio.file.Path;
import org.chivecross.logic.settings.ProgramOptions;
import org.kohsuke.args4j.Option;

/** Flags of {@code chivecross-standin upstream}. Not thread-safe. */
public final class UpstreamOptions extends ProgramOptions {

  @Option(
      name = "--files",
      required = true,
      metaVar = "DIR",
      usage = "directory of the file set whose targets the stand-in replaces")
  private Path files = Path.of(".");

  @Option(
      name = "--control",
      metaVar = "HOST:PORT",
      usage = "address of the control endpoint; port 0 selects a free port")
  private String control = "127.0.0.1:0";

  @Option(name = "--history", metaVar = "FILE", usage = "history file, one JSON line per event")
  private String history = "";

  @Option(name = "--seed", metaVar = "NUMBER", usage = "seed of the random slowdowns")
  private long seed = 1;

  @Option(
      name = "--noisy-targets",
      metaVar = "COUNT",
      usage = "targets of each service that are slowed down at random, as by noisy neighbours")
  private int noisyTargets;

  @Option(
      name = "--noise-factor",
      metaVar = "FACTOR",
      usage = "factor by which the service time grows during a random slowdown")
  private double noiseFactor = 10;

  /** Returns the options as an immutable record. */
  UpstreamPreferences toPreferences() {
    return new UpstreamPreferences(files, control, history, seed, noisyTargets, noiseFactor);
  }
}
