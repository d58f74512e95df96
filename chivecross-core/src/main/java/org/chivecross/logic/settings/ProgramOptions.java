package org.chivecross.logic.settings;

import org.kohsuke.args4j.Option;

/**
 * Flags that every program has. args4j fills the fields; programs turn them into immutable
 * preferences at once. Not thread-safe.
 */
public abstract class ProgramOptions {

  @Option(name = "--help", help = true, usage = "print this help and exit")
  private boolean help;

  @Option(name = "--version", help = true, usage = "print the version and exit")
  private boolean version;

  /** Creates options with all switches off. */
  protected ProgramOptions() {}

  /** Returns whether only the help text is wanted. */
  public boolean isHelp() {
    return help;
  }

  /** Returns whether only the version is wanted. */
  public boolean isVersion() {
    return version;
  }
}
