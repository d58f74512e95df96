package org.chivecross.logic.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.FleetMember;

/**
 * An entry's share of the requests that the whole fleet receives. Not thread-safe.
 *
 * <p>Invariant: the share doesn't grow within the retention time after other entries fall silent;
 * they may be partitioned from this entry and still use their shares. An entry that announced its
 * stop before needs no share.
 */
final class LoadShare {

  /** Time for which the last known load of a silent entry still counts. */
  private static final long SILENT_ENTRY_RETENTION_NANOS = TimeUnit.HOURS.toNanos(24);

  /** The same for an entry that did not accept callers any more. */
  private static final long STOPPED_ENTRY_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Time between two updates of the loads; heartbeats bring new ones each second. */
  private static final long UPDATE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Map<String, Load> loads = new HashMap<>();
  private long recordedNanos = Long.MIN_VALUE / 2;

  /** Load that an entry last advertised. */
  private record Load(int requestsPerSecond, boolean ready, long recordedNanos) {

    boolean isOutdated(long nowNanos) {
      long retention = ready ? SILENT_ENTRY_RETENTION_NANOS : STOPPED_ENTRY_RETENTION_NANOS;
      return nowNanos - recordedNanos > retention;
    }
  }

  /**
   * Records the loads that other entries advertise, at most twice a second; drops outdated ones.
   */
  void recordLoads(FleetMembership others, long nowNanos) {
    if (nowNanos - recordedNanos < UPDATE_PERIOD_NANOS) {
      return;
    }
    recordedNanos = nowNanos;
    for (FleetMember other : others.members(nowNanos)) {
      loads.put(other.ip(), new Load(other.requestsPerSecond(), other.ready(), nowNanos));
    }
    loads.values().removeIf(load -> load.isOutdated(nowNanos));
  }

  /** Returns the number of other entries whose load counts. */
  int otherEntryCount() {
    return loads.size();
  }

  /**
   * Returns the share, from 0 to 1. One request per second is added to the load of each entry, so
   * that an idle entry has a share too.
   */
  double shareOf(int ownRequestsPerSecond) {
    long total = ownRequestsPerSecond + 1L;
    for (Load load : loads.values()) {
      total += load.requestsPerSecond() + 1L;
    }
    return (ownRequestsPerSecond + 1.0) / total;
  }
}
