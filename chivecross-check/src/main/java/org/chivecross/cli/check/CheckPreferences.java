package org.chivecross.cli.check;

import java.nio.file.Path;

/**
 * Settings of one run of {@code chivecross-check}. Immutable.
 *
 * @param directory directory of the file set
 * @param pack directory for the values to publish; empty for none
 * @param epoch first part of the version
 * @param json whether the result is printed as JSON
 */
record CheckPreferences(Path directory, String pack, long epoch, boolean json) {}
