package org.chivecross.cli.admin;

import java.util.List;
import org.chivecross.model.manifest.ConfigVersion;

/**
 * Settings of one run of {@code chivecross-admin}. Immutable.
 *
 * @param command command and its arguments
 * @param entries {@code host:port} of the administration API of each entry
 * @param token bearer token, or ""
 * @param version version that the wait command waits for
 * @param timeoutMillis maximum time that the wait command waits, in ms
 * @param explained request that the where command explains
 * @param json whether JSON is printed instead of tables
 */
record AdminPreferences(
    List<String> command,
    List<String> entries,
    String token,
    ConfigVersion version,
    long timeoutMillis,
    ExplainedRequest explained,
    boolean json) {
  AdminPreferences {
    command = List.copyOf(command);
    entries = List.copyOf(entries);
  }

  /** Returns the name of the command; "" if none was given. */
  String name() {
    return command.isEmpty() ? "" : command.get(0);
  }

  /** Returns the first argument of the command; "" if none was given. */
  String argument() {
    return command.size() < 2 ? "" : command.get(1);
  }
}
