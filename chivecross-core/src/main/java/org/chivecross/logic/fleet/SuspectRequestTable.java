package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.chivecross.model.fleet.RequestStanding;
import org.chivecross.model.fleet.SuspectRequest;
import org.chivecross.model.fleet.TargetIncarnation;

/**
 * Requests under which targets ended, as seen by any entry. Not thread-safe.
 *
 * <p>Invariants: a run of a target counts once for a request; ends before the last completion of a
 * request don't count; a request under which {@link #MAX_ENDED_TARGETS} targets ended is blocked
 * except for {@link #MAX_TRIALS} single trials, each after a longer time.
 */
final class SuspectRequestTable {

  /** Targets that may end under a request before it is blocked. */
  static final int MAX_ENDED_TARGETS = 3;

  /** Trials of a blocked request. */
  static final int MAX_TRIALS = 3;

  /** Time from the last end under a blocked request to its first trial. */
  private static final long FIRST_TRIAL_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Factor by which the time to the next trial grows. */
  private static final int TRIAL_BACKOFF_FACTOR = 8;

  /** Retention of requests that are not blocked; the same end is not remembered forever. */
  private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

  /** Retention of blocked requests since their last attempt by a caller. */
  private static final long BLOCKED_RETENTION_NANOS = TimeUnit.HOURS.toNanos(1);

  /** Time for which completions are repeated, since messages between entries may be lost. */
  private static final long COMPLETION_REPEAT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Suspect requests that are kept; those whose last end is the oldest are dropped. */
  private static final int MAX_SUSPECTS = 1_024;

  /** Suspect requests that are sent in one message. */
  private static final int MAX_SENT = 64;

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** What is known of one request. */
  private static final class Suspect {
    private final Set<TargetIncarnation> ended = new LinkedHashSet<>();
    private long lastEndNanos = Long.MIN_VALUE / 2;
    private long completedNanos = Long.MIN_VALUE / 2;
    private long lastTrialNanos = Long.MIN_VALUE / 2;
    private long lastAskedNanos;
    private int trials;

    boolean isBlocked() {
      return ended.size() >= MAX_ENDED_TARGETS;
    }

    boolean isOutdated(long nowNanos) {
      long newest = Math.max(lastEndNanos, completedNanos);
      return isBlocked()
          ? nowNanos - Math.max(newest, lastAskedNanos) > BLOCKED_RETENTION_NANOS
          : nowNanos - newest > RETENTION_NANOS;
    }

    long nextTrialNanos() {
      int done = Math.max(trials, ended.size() - MAX_ENDED_TARGETS);
      if (done >= MAX_TRIALS) {
        return Long.MAX_VALUE;
      }
      long pause = FIRST_TRIAL_NANOS * (long) Math.pow(TRIAL_BACKOFF_FACTOR, done);
      return Math.max(lastEndNanos, lastTrialNanos) + pause;
    }
  }

  private final Map<Long, Suspect> suspects = new HashMap<>();

  /**
   * Records that a run of a target ended while it ran a request.
   *
   * @return whether this was not known
   */
  boolean recordEnd(long fingerprint, TargetIncarnation target, long endNanos) {
    Suspect suspect = suspects.computeIfAbsent(fingerprint, f -> new Suspect());
    if (endNanos <= suspect.completedNanos || !suspect.ended.add(target)) {
      return false;
    }
    suspect.lastEndNanos = Math.max(suspect.lastEndNanos, endNanos);
    return true;
  }

  /**
   * Records that a target completed a request.
   *
   * @return whether the request is no longer suspect because of it
   */
  boolean recordCompletion(long fingerprint, long completedNanos) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect == null || suspect.completedNanos >= completedNanos) {
      return false;
    }
    suspect.completedNanos = completedNanos;
    if (suspect.ended.isEmpty() || suspect.lastEndNanos > completedNanos) {
      return false;
    }
    suspect.ended.clear();
    suspect.trials = 0;
    return true;
  }

  /**
   * Returns whether a request may be sent now.
   *
   * @param mayTry whether this entry is the one that tries the request if it is blocked
   */
  RequestStanding standing(long fingerprint, BooleanSupplier mayTry, long nowNanos) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect == null) {
      return RequestStanding.GOOD;
    }
    suspect.lastAskedNanos = nowNanos;
    int ended = suspect.ended.size();
    if (!suspect.isBlocked()) {
      return new RequestStanding(ended, 0);
    }
    long trialNanos = suspect.nextTrialNanos();
    if (nowNanos >= trialNanos && mayTry.getAsBoolean()) {
      return new RequestStanding(ended, 0);
    }
    long endNanos = trialNanos == Long.MAX_VALUE ? nowNanos + BLOCKED_RETENTION_NANOS : trialNanos;
    return new RequestStanding(ended, Math.max(1_000, (endNanos - nowNanos) / NANOS_PER_MILLI));
  }

  /** Records that a blocked request is sent to a target. */
  void recordTrial(long fingerprint, long nowNanos) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect != null && suspect.isBlocked()) {
      suspect.trials++;
      suspect.lastTrialNanos = nowNanos;
    }
  }

  /**
   * Adds what another entry knows.
   *
   * @return the fingerprints about which something new was learnt
   */
  List<Long> merge(List<SuspectRequest> received, long nowNanos) {
    List<Long> changed = new ArrayList<>();
    for (SuspectRequest request : received) {
      boolean isChange = false;
      long fingerprint = request.fingerprint();
      if (request.completedAgeMillis().isPresent()) {
        long completed = nowNanos - request.completedAgeMillis().getAsLong() * NANOS_PER_MILLI;
        isChange = recordCompletion(fingerprint, completed);
      }
      long endNanos = nowNanos - request.endAgeMillis() * NANOS_PER_MILLI;
      for (TargetIncarnation target : request.ended()) {
        isChange |= recordEnd(fingerprint, target, endNanos);
      }
      if (isChange) {
        changed.add(fingerprint);
      }
    }
    return changed;
  }

  /** Returns what is known of some requests. */
  List<SuspectRequest> describe(List<Long> fingerprints, long nowNanos) {
    List<SuspectRequest> described = new ArrayList<>();
    for (long fingerprint : fingerprints) {
      Suspect suspect = suspects.get(fingerprint);
      if (suspect != null) {
        described.add(describe(fingerprint, suspect, nowNanos));
      }
    }
    return described;
  }

  /** Returns the suspect requests with the newest ends. */
  List<SuspectRequest> newest(long nowNanos) {
    return newest(nowNanos, false);
  }

  /** Returns the blocked requests with the newest ends, and those that completed lately. */
  List<SuspectRequest> newestBlocked(long nowNanos) {
    return newest(nowNanos, true);
  }

  private List<SuspectRequest> newest(long nowNanos, boolean onlyBlocked) {
    List<SuspectRequest> all = new ArrayList<>();
    suspects.forEach(
        (fingerprint, suspect) -> {
          boolean isSent =
              suspect.isBlocked()
                  || nowNanos - suspect.completedNanos < COMPLETION_REPEAT_NANOS
                  || (!onlyBlocked && !suspect.ended.isEmpty());
          if (isSent) {
            all.add(describe(fingerprint, suspect, nowNanos));
          }
        });
    all.sort(Comparator.comparingLong(SuspectRequest::endAgeMillis));
    return all.subList(0, Math.min(MAX_SENT, all.size()));
  }

  private static SuspectRequest describe(long fingerprint, Suspect suspect, long nowNanos) {
    boolean isCompleted = suspect.completedNanos > Long.MIN_VALUE / 2;
    return new SuspectRequest(
        fingerprint,
        List.copyOf(suspect.ended),
        ageMillis(suspect.lastEndNanos, nowNanos),
        isCompleted
            ? OptionalLong.of(ageMillis(suspect.completedNanos, nowNanos))
            : OptionalLong.empty());
  }

  private static long ageMillis(long nanos, long nowNanos) {
    return Math.max(0, (nowNanos - nanos) / NANOS_PER_MILLI);
  }

  /** Returns the number of blocked requests. */
  int blockedCount() {
    return (int) suspects.values().stream().filter(Suspect::isBlocked).count();
  }

  /** Drops what is outdated, and the oldest if there are too many suspect requests. */
  void expire(long nowNanos) {
    suspects.values().removeIf(suspect -> suspect.isOutdated(nowNanos));
    if (suspects.size() <= MAX_SUSPECTS) {
      return;
    }
    List<Long> oldest =
        suspects.entrySet().stream()
            .sorted(
                Comparator.<Map.Entry<Long, Suspect>, Boolean>comparing(
                        e -> e.getValue().isBlocked())
                    .thenComparing(e -> e.getValue().lastEndNanos))
            .map(Map.Entry::getKey)
            .limit(suspects.size() - MAX_SUSPECTS)
            .toList();
    oldest.forEach(suspects::remove);
  }
}
