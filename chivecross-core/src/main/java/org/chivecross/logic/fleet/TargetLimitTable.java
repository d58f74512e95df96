package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.fleet.TargetLimit;

/**
 * Request limits that targets named in responses to any entry. Not thread-safe.
 *
 * <p>Invariants: what an older response or an earlier run of a target said never replaces what a
 * newer one said; the end of a limit is kept for a while, so that no delayed message restores it.
 */
final class TargetLimitTable {

  /** Retention of limits that no response has confirmed, such as those of a removed target. */
  private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

  /** Retention of the end of a limit; messages between entries are delayed for much less. */
  private static final long ENDED_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Limits that are sent to other entries in one message. */
  private static final int MAX_SENT = 64;

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** What a run of a target last said; {@code perSecond} is empty once it named no limit. */
  private record Limit(long startedAtMillis, OptionalDouble perSecond, long observedNanos) {

    boolean isOutdated(long nowNanos) {
      return nowNanos - observedNanos
          > (perSecond.isPresent() ? RETENTION_NANOS : ENDED_RETENTION_NANOS);
    }
  }

  private final Map<String, Limit> limits = new HashMap<>();

  /**
   * Records what a response said about the limit of its target.
   *
   * @param perSecond the limit; empty if the target named none
   * @param observedNanos monotonic time of the response
   * @return whether it differs from what was known
   */
  boolean record(TargetIncarnation target, OptionalDouble perSecond, long observedNanos) {
    Limit known = limits.get(target.id());
    if (known == null && perSecond.isEmpty()) {
      return false;
    }
    if (known != null && isNewer(known, target, observedNanos)) {
      return false;
    }
    limits.put(target.id(), new Limit(target.startedAtMillis(), perSecond, observedNanos));
    return known == null || !known.perSecond().equals(perSecond);
  }

  private static boolean isNewer(Limit known, TargetIncarnation target, long observedNanos) {
    return known.startedAtMillis() == target.startedAtMillis()
        ? known.observedNanos() >= observedNanos
        : known.startedAtMillis() > target.startedAtMillis();
  }

  /**
   * Adds what another entry knows.
   *
   * @return the limits that differ from what was known
   */
  List<TargetLimit> merge(List<TargetLimit> received, long nowNanos) {
    return received.stream()
        .filter(
            limit ->
                record(
                    limit.incarnation(),
                    limit.requestsPerSecond(),
                    nowNanos - limit.ageMillis() * NANOS_PER_MILLI))
        .toList();
  }

  /** Returns the limit of a run of a target; empty if it has none. */
  Optional<TargetLimit> find(TargetIncarnation target, long nowNanos) {
    Limit known = limits.get(target.id());
    if (known == null
        || known.startedAtMillis() != target.startedAtMillis()
        || known.perSecond().isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(toTargetLimit(target.id(), known, nowNanos));
  }

  /** Returns the newest limits, and those that ended lately. */
  List<TargetLimit> newest(long nowNanos) {
    List<TargetLimit> all = new ArrayList<>();
    limits.forEach((id, known) -> all.add(toTargetLimit(id, known, nowNanos)));
    all.sort(Comparator.comparingLong(TargetLimit::ageMillis));
    return all.subList(0, Math.min(MAX_SENT, all.size()));
  }

  /** Returns the number of limits that have not ended. */
  int size() {
    return (int) limits.values().stream().filter(limit -> limit.perSecond().isPresent()).count();
  }

  /** Drops limits that no response has confirmed for long. */
  void expire(long nowNanos) {
    limits.values().removeIf(limit -> limit.isOutdated(nowNanos));
  }

  private static TargetLimit toTargetLimit(String id, Limit known, long nowNanos) {
    long ageMillis = Math.max(0, (nowNanos - known.observedNanos()) / NANOS_PER_MILLI);
    return new TargetLimit(
        new TargetIncarnation(id, known.startedAtMillis()), known.perSecond(), ageMillis);
  }
}
