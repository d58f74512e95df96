package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.fleet.TargetWarmUp;
import org.chivecross.model.registry.RegisteredTarget;

/**
 * Runs of targets that warm up, by what their registrations and responses said to any entry. Not
 * thread-safe.
 *
 * <p>Invariants: the end of a warm-up of one run is never moved to an earlier time; a later run of
 * a target replaces an earlier one, never the reverse.
 */
final class WarmUpTable {

  /**
   * Difference between two ends from which a warm-up counts as another one. What entries compute
   * for the same warm-up differs by the times of their messages.
   */
  private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Longest warm-up that is taken from a target; a longer one is unlikely to be meant. */
  private static final long MAX_MILLIS = 120_000;

  /** Warm-ups that are sent to other entries in one message. */
  private static final int MAX_SENT = 64;

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** A warm-up of one run and its end. */
  private record WarmUp(long startedAtMillis, long endNanos) {}

  private final Map<String, WarmUp> warmUps = new HashMap<>();

  /**
   * Records that a run of a target warms up.
   *
   * @param remainingMillis time until it is warm, in ms
   * @return whether this was not known
   */
  boolean record(TargetIncarnation target, long remainingMillis, long nowNanos) {
    if (remainingMillis <= 0) {
      return false;
    }
    long endNanos = nowNanos + Math.min(MAX_MILLIS, remainingMillis) * NANOS_PER_MILLI;
    WarmUp known = warmUps.get(target.id());
    if (known != null && known.startedAtMillis() > target.startedAtMillis()) {
      return false;
    }
    if (known == null || known.startedAtMillis() < target.startedAtMillis()) {
      warmUps.put(target.id(), new WarmUp(target.startedAtMillis(), endNanos));
      return true;
    }
    if (endNanos <= known.endNanos()) {
      return false;
    }
    warmUps.put(target.id(), new WarmUp(target.startedAtMillis(), endNanos));
    return known.endNanos() <= nowNanos || endNanos - known.endNanos() > TOLERANCE_NANOS;
  }

  /**
   * Adds what another entry knows.
   *
   * @return the warm-ups that were not known
   */
  List<TargetWarmUp> merge(List<TargetWarmUp> received, long nowNanos) {
    return received.stream()
        .filter(warmUp -> record(warmUp.incarnation(), warmUp.remainingMillis(), nowNanos))
        .toList();
  }

  /** Returns the time until a run of a target is warm, in ms; 0 if it is warm. */
  long remainingMillis(TargetIncarnation target, long nowNanos) {
    WarmUp known = warmUps.get(target.id());
    if (known == null || known.startedAtMillis() != target.startedAtMillis()) {
      return 0;
    }
    return remainingMillis(known, nowNanos);
  }

  /** Returns a registered target with the remaining time of its warm-up, as it is known here. */
  RegisteredTarget withRemaining(RegisteredTarget target, long nowNanos) {
    long millis = remainingMillis(TargetEvidenceTable.incarnationOf(target), nowNanos);
    return millis == target.warmupMillis() ? target : target.withWarmupMillis(millis);
  }

  /** Returns the warm-ups that last longest. */
  List<TargetWarmUp> current(long nowNanos) {
    List<TargetWarmUp> all = new ArrayList<>();
    warmUps.forEach(
        (id, known) -> {
          long millis = remainingMillis(known, nowNanos);
          if (millis > 0) {
            all.add(new TargetWarmUp(new TargetIncarnation(id, known.startedAtMillis()), millis));
          }
        });
    all.sort(Comparator.comparingLong(TargetWarmUp::remainingMillis).reversed());
    return all.subList(0, Math.min(MAX_SENT, all.size()));
  }

  /** Returns the number of targets that warm up. */
  int size() {
    return warmUps.size();
  }

  /** Drops warm-ups that have ended. */
  void expire(long nowNanos) {
    warmUps.values().removeIf(warmUp -> warmUp.endNanos() <= nowNanos);
  }

  private static long remainingMillis(WarmUp warmUp, long nowNanos) {
    return Math.max(0, (warmUp.endNanos() - nowNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }
}
