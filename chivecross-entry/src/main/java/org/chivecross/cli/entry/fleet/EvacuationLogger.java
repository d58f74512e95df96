package org.chivecross.cli.entry.fleet;

import java.util.Set;
import org.tinylog.Logger;

/** Logs changes of the set of evacuated data centres. Not thread-safe. */
final class EvacuationLogger {

  private Set<String> last = Set.of();

  /** Logs the evacuated data centres if they have changed. */
  void log(Set<String> evacuated, long viewAgeMillis) {
    if (evacuated.equals(last)) {
      return;
    }
    last = evacuated;
    Logger.info(
        "evacuated data centres: {}; nothing is sent to their targets, view {} ms old",
        evacuated,
        viewAgeMillis);
  }
}
