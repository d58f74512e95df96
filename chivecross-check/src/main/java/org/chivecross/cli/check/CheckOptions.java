package org.chivecross.cli.check;

import org.chivecross.logic.settings.ProgramOptions;

/** Flags of {@code chivecross-check}. Not thread-safe. */
final class CheckOptions extends ProgramOptions {}
