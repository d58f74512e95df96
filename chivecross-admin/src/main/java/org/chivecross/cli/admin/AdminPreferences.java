package org.chivecross.cli.admin;

import java.util.List;
import org.chivecross.model.manifest.ConfigVersion;

/**
 * Settings of one run. Immutable.
 *
 * @param command command with its argument
 * @param entries {@code host:port} of the administration API of each entry
 * @param token bearer token, or ""
 * @param version version that is waited for
 * @param timeoutMillis longest time that is waited, in ms
 * @param json whether JSON is printed instead of tables
 */
record AdminPreferences(
    List<String> command,
    List<String> entries,
    String token,
    ConfigVersion version,
    long timeoutMillis,
    boolean json) {
  AdminPreferences {
    command = List.copyOf(command);
    entries = List.copyOf(entries);
  }

  /** Returns the name of the command, or "". */
  String name() {
    return command.isEmpty() ? "" : command.get(0);
  }

  /** Returns the argument of the command, or "". */
  String argument() {
    return command.size() < 2 ? "" : command.get(1);
  }
}
