package org.chivecross.cli.entry.fleet;

import java.util.Map;
import org.tinylog.Logger;

/** Logs for which services targets are preferred, when that changes. Not thread-safe. */
final class PreferredTargetsLogger {

  private Map<String, Integer> before = Map.of();

  /**
   * Logs the services that have got or lost preferred targets since the last call.
   *
   * @param sizes number of preferred targets of each service that has some
   */
  void log(Map<String, Integer> sizes) {
    if (sizes.keySet().equals(before.keySet())) {
      return;
    }
    sizes.forEach(
        (service, size) -> {
          if (!before.containsKey(service)) {
            Logger.info("service {}: {} targets preferred, to keep connections", service, size);
          }
        });
    before.keySet().stream()
        .filter(service -> !sizes.containsKey(service))
        .forEach(service -> Logger.info("service {}: no targets preferred any more", service));
    before = Map.copyOf(sizes);
  }
}
