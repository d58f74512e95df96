package org.chivecross.logic.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.FleetMember;

/**
 * An entry's part of the requests that all entries take. Not thread-safe.
 *
 * <p>Invariant: the part doesn't grow because others fall silent; they may be cut off from here and
 * go on using their parts.
 */
final class LoadShare {

  /** Time for which an entry that fell silent still counts with its last load. */
  private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Map<String, Load> loads = new HashMap<>();

  /** What an entry last told of its load. */
  private record Load(int requestsPerSecond, long heardNanos) {}

  /** Notes what the others told. */
  void note(Collection<FleetMember> others, long nowNanos) {
    for (FleetMember other : others) {
      loads.put(other.ip(), new Load(other.requestsPerSecond(), nowNanos));
    }
    loads.values().removeIf(load -> nowNanos - load.heardNanos() > MEMORY_NANOS);
  }

  /** Returns the number of other entries that count. */
  int others() {
    return loads.size();
  }

  /** Returns the part, from 0 to 1; each entry counts with at least one request in a second. */
  double part(int own) {
    long total = own + 1L;
    for (Load load : loads.values()) {
      total += load.requestsPerSecond() + 1L;
    }
    return (own + 1.0) / total;
  }
}
