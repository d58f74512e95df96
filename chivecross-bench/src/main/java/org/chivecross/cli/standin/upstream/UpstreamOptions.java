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
      usage = "directory of the file set whose targets to stand in for")
  private Path files = Path.of(".");

  @Option(
      name = "--control",
      metaVar = "HOST:PORT",
      usage = "address of the control endpoint; port 0 lets the system choose")
  private String control = "127.0.0.1:0";

  @Option(name = "--history", metaVar = "FILE", usage = "file for one JSON line per event")
  private String history = "";

  @Option(name = "--seed", metaVar = "NUMBER", usage = "seed of all random behaviour")
  private long seed = 1;

  @Option(
      name = "--noisy-targets",
      metaVar = "COUNT",
      usage = "targets of each service that noisy neighbours slow down at random moments")
  private int noisyTargets;

  @Option(
      name = "--noise-factor",
      metaVar = "FACTOR",
      usage = "how many times slower a disturbed target is")
  private double noiseFactor = 10;

  /** Returns the immutable preferences. */
  UpstreamPreferences toPreferences() {
    return new UpstreamPreferences(files, control, history, seed, noisyTargets, noiseFactor);
  }
}
