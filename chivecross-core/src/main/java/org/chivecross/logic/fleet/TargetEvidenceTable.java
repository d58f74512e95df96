package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.RemovedTarget;
import org.chivecross.model.fleet.TargetEvidence;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.registry.RegisteredTarget;

/**
 * Evidence about targets that outlives their registrations. The store may be restored from an older
 * copy, in which a target is registered that has left since. Not thread-safe.
 *
 * <p>Invariants: a leaving run stays leaving until a later run of the target registers; a run that
 * was removed in one era and is found in a later one stays removed until it registers again there.
 */
final class TargetEvidenceTable {

  /** Retention of leaving runs that are not registered. */
  private static final long LEAVING_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

  /** Retention of removals; the copy from which a store is restored is only some seconds old. */
  private static final long REMOVAL_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(1);

  private static final long NO_SEQUENCE = Long.MIN_VALUE;

  /** A run that announced its shutdown. */
  private record Leaving(long startedAtMillis, long recordedNanos) {}

  /**
   * A run whose registration was removed.
   *
   * @param era era of the removal
   * @param firstSequence first sequence number that was seen in a later era; {@code NO_SEQUENCE}
   *     before
   */
  private record Removal(long startedAtMillis, long era, long firstSequence, long recordedNanos) {}

  private final Map<String, Leaving> leaving = new TreeMap<>();
  private final Map<String, Removal> removals = new TreeMap<>();

  /**
   * Records that a run of a target is leaving.
   *
   * @return whether this was not known
   */
  boolean recordLeaving(TargetIncarnation incarnation, long nowNanos) {
    Leaving known = leaving.get(incarnation.id());
    if (known != null && known.startedAtMillis() >= incarnation.startedAtMillis()) {
      return false;
    }
    leaving.put(incarnation.id(), new Leaving(incarnation.startedAtMillis(), nowNanos));
    return true;
  }

  /** Records that the registration of a run was removed in an era of the store. */
  void recordRemoval(RemovedTarget removed, long nowNanos) {
    String id = removed.incarnation().id();
    long startedAtMillis = removed.incarnation().startedAtMillis();
    Removal known = removals.get(id);
    if (known != null && known.startedAtMillis() > startedAtMillis) {
      return;
    }
    if (known != null
        && known.startedAtMillis() == startedAtMillis
        && known.era() >= removed.era()) {
      return;
    }
    removals.put(id, new Removal(startedAtMillis, removed.era(), NO_SEQUENCE, nowNanos));
  }

  /**
   * Takes note of a registration that was found in the store.
   *
   * @param era era of the store in which it was found
   */
  void registered(RegisteredTarget target, long era, long nowNanos) {
    Leaving left = leaving.get(target.id());
    if (left != null && target.startedAtMillis() > left.startedAtMillis()) {
      leaving.remove(target.id());
    }
    if (target.leaving()) {
      recordLeaving(incarnationOf(target), nowNanos);
    }
    Removal removal = removals.get(target.id());
    if (removal == null || target.startedAtMillis() < removal.startedAtMillis()) {
      return;
    }
    boolean isLaterRun = target.startedAtMillis() > removal.startedAtMillis();
    boolean isWrittenSince =
        removal.firstSequence() != NO_SEQUENCE && target.sequence() > removal.firstSequence();
    if (isLaterRun || era <= removal.era() || isWrittenSince) {
      removals.remove(target.id());
    } else if (removal.firstSequence() == NO_SEQUENCE) {
      removals.put(
          target.id(),
          new Removal(
              removal.startedAtMillis(),
              removal.era(),
              target.sequence(),
              removal.recordedNanos()));
    }
  }

  /** Returns whether the registration of a target is left over from before its removal. */
  boolean isRemoved(RegisteredTarget target) {
    Removal removal = removals.get(target.id());
    return removal != null && target.startedAtMillis() <= removal.startedAtMillis();
  }

  /** Returns whether this run of a target has announced its shutdown. */
  boolean isLeaving(RegisteredTarget target) {
    Leaving known = leaving.get(target.id());
    return target.leaving()
        || (known != null && target.startedAtMillis() <= known.startedAtMillis());
  }

  /** Drops evidence that is no longer needed. */
  void expire(Set<String> registeredIds, long nowNanos) {
    leaving
        .entrySet()
        .removeIf(
            entry ->
                !registeredIds.contains(entry.getKey())
                    && nowNanos - entry.getValue().recordedNanos() > LEAVING_RETENTION_NANOS);
    removals
        .values()
        .removeIf(removal -> nowNanos - removal.recordedNanos() > REMOVAL_RETENTION_NANOS);
  }

  /** Returns all evidence, for an entry that has just started. */
  TargetEvidence all() {
    List<TargetIncarnation> left = new ArrayList<>();
    leaving.forEach((id, known) -> left.add(new TargetIncarnation(id, known.startedAtMillis())));
    List<RemovedTarget> removed = new ArrayList<>();
    removals.forEach(
        (id, known) ->
            removed.add(
                new RemovedTarget(
                    new TargetIncarnation(id, known.startedAtMillis()), known.era())));
    return new TargetEvidence(left, removed);
  }

  static TargetIncarnation incarnationOf(RegisteredTarget target) {
    return new TargetIncarnation(target.id(), target.startedAtMillis());
  }
}
