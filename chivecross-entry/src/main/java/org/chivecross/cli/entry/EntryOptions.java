package org.chivecross.cli.entry;

import org.chivecross.logic.settings.ProgramOptions;

/** Flags of {@code chivecross-entry}. Not thread-safe. */
final class EntryOptions extends ProgramOptions {}
