package org.chivecross.cli.standin;

import org.chivecross.logic.settings.ProgramOptions;

/** Flags of {@code chivecross-standin}. Not thread-safe. */
final class StandinOptions extends ProgramOptions {}
