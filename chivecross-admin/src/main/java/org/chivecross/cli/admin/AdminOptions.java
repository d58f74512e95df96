package org.chivecross.cli.admin;

import org.chivecross.logic.settings.ProgramOptions;

/** Flags of {@code chivecross-admin}. Not thread-safe. */
final class AdminOptions extends ProgramOptions {}
