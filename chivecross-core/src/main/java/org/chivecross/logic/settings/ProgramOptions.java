package org.chivecross.logic.settings;

import org.kohsuke.args4j.Option;

/**
 * Command line flags common to all programs. args4j sets the fields; programs convert them to
 * immutable preferences right after parsing. Not thread-safe.
 */
public abstract class ProgramOptions {

  @Option(name = "--help", help = true, usage = "print this help and exit")
  private boolean help;

  @Option(name = "--version", help = true, usage = "print the version and exit")
  private boolean version;

  /** Creates options with default values. */
  protected ProgramOptions() {}

  /** Returns whether only the help text is requested. */
  public boolean isHelp() {
    return help;
  }

  /** Returns whether only the version is requested. */
  public boolean isVersion() {
    return version;
  }
}
