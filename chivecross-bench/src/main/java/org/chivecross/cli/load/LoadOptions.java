package org.chivecross.cli.load;

import org.chivecross.logic.settings.ProgramOptions;

/** Flags of {@code chivecross-load}. Not thread-safe. */
final class LoadOptions extends ProgramOptions {}
