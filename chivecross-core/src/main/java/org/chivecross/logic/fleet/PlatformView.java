package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.StoreChange;
import org.chivecross.model.fleet.ViewUpdate;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.ruleset.RuleSet;

/**
 * This entry's copy of the platform's store: the rules and the registered targets, as of one store
 * revision. Not thread-safe.
 *
 * <p>Invariants: the version of the rules and the revision never decrease. An expired registration
 * that is retained exists in this entry only: it is in no digest and in no update, so its removal
 * here never removes a target from an entry that has received the renewed registration.
 */
final class PlatformView {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /**
   * Time for which registrations that expired during an outage of the store are retained after it.
   * A target that is alive registers again within 2 s; the rest is for the read that returns it.
   */
  private static final long EXPIRED_TARGET_RETENTION_NANOS = 2_300 * NANOS_PER_MILLI;

  /** Gap between two reads that counts as an outage; the last in rank reads well before that. */
  private static final long OUTAGE_THRESHOLD_NANOS = 1_600 * NANOS_PER_MILLI;

  private final Map<String, RegisteredTarget> targets = new TreeMap<>();
  private final Map<String, ExpiredTarget> expiredTargets = new TreeMap<>();
  private Optional<RuleSet> rules = Optional.empty();
  private long newestAdvertisedRulesVersion;
  private long revision;
  private long asOfNanos = Long.MIN_VALUE;
  private long outageEndNanos = Long.MIN_VALUE / 2;
  private boolean isInitialised;

  /** A target whose registration has expired in the store, and the end of its retention. */
  private record ExpiredTarget(RegisteredTarget target, long retainedUntilNanos) {}

  /** Changes that a read or an update made to the view. */
  record Changes(List<RegisteredTarget> registered, List<String> removed, boolean hasNewRules) {

    boolean isEmpty() {
      return registered.isEmpty() && removed.isEmpty() && !hasNewRules;
    }
  }

  /**
   * Applies a read of the store.
   *
   * @param sentNanos time at which the read was sent; its result is at least that recent
   */
  Changes apply(StoreChange change, long sentNanos, long nowNanos) {
    detectOutage(sentNanos);
    if (isInitialised && change.revision() < revision) {
      return new Changes(List.of(), List.of(), false);
    }
    List<String> removed = new ArrayList<>(change.removed());
    if (change.isSnapshot()) {
      removed.addAll(idsMissingFrom(change.registered()));
    }
    retainExpiredTargets(removed, nowNanos);
    return mergeChanges(change.registered(), removed, change.rules(), change.revision(), sentNanos);
  }

  /** Applies an update from another entry. */
  Changes apply(ViewUpdate update, long nowNanos) {
    long updateAsOfNanos = nowNanos - update.ageMillis() * NANOS_PER_MILLI;
    newestAdvertisedRulesVersion = Math.max(newestAdvertisedRulesVersion, update.rulesVersion());
    detectOutage(updateAsOfNanos);
    if (isInitialised && update.revision() < revision) {
      return mergeChanges(List.of(), List.of(), update.rules(), revision, asOfNanos);
    }
    List<String> removed = new ArrayList<>(update.removed());
    if (update.isSnapshot()) {
      removed.addAll(idsMissingFrom(update.registered()));
    }
    boolean isComplete = isInitialised || update.isSnapshot();
    if (!isComplete) {
      return mergeChanges(List.of(), List.of(), update.rules(), revision, asOfNanos);
    }
    retainExpiredTargets(removed, nowNanos);
    return mergeChanges(
        update.registered(), removed, update.rules(), update.revision(), updateAsOfNanos);
  }

  /** Drops expired registrations after their retention; returns whether there were any. */
  boolean expire(long nowNanos) {
    return expiredTargets.values().removeIf(entry -> nowNanos >= entry.retainedUntilNanos());
  }

  /** After an outage, retains removed targets that had not announced their shutdown. */
  private void retainExpiredTargets(List<String> removed, long nowNanos) {
    if (nowNanos - outageEndNanos >= EXPIRED_TARGET_RETENTION_NANOS) {
      return;
    }
    for (String id : removed) {
      RegisteredTarget target = targets.get(id);
      if (target != null && !target.leaving()) {
        expiredTargets.put(
            id, new ExpiredTarget(target, nowNanos + EXPIRED_TARGET_RETENTION_NANOS));
      }
    }
  }

  /** Records the end of a time without reads, in which live registrations may have expired. */
  private void detectOutage(long newAsOfNanos) {
    if (isInitialised && newAsOfNanos - asOfNanos > OUTAGE_THRESHOLD_NANOS) {
      outageEndNanos = newAsOfNanos;
    }
  }

  private Changes mergeChanges(
      List<RegisteredTarget> registered,
      List<String> removed,
      Optional<RuleSet> newRules,
      long newRevision,
      long newAsOfNanos) {
    List<RegisteredTarget> changed = new ArrayList<>();
    for (RegisteredTarget target : registered) {
      expiredTargets.remove(target.id());
      RegisteredTarget before = targets.put(target.id(), target);
      if (before == null || !isUnchanged(before, target)) {
        changed.add(target);
      }
    }
    List<String> dropped = new ArrayList<>();
    for (String id : removed) {
      if (targets.remove(id) != null) {
        dropped.add(id);
      }
    }
    boolean hasNewRules =
        newRules.isPresent()
            && newRules.get().version() > rules.map(RuleSet::version).orElse(Long.MIN_VALUE);
    if (hasNewRules) {
      rules = newRules;
    }
    revision = Math.max(revision, newRevision);
    asOfNanos = Math.max(asOfNanos, newAsOfNanos);
    isInitialised |= newAsOfNanos != Long.MIN_VALUE;
    return new Changes(changed, dropped, hasNewRules);
  }

  /** Returns the complete view as an update for another entry. */
  ViewUpdate snapshot(boolean includesRules, long nowNanos) {
    return new ViewUpdate(
        revision,
        ageMillis(nowNanos),
        digest(),
        rulesVersion(),
        true,
        List.copyOf(targets.values()),
        List.of(),
        includesRules ? rules : Optional.empty());
  }

  /** Returns changes as an update for another entry. */
  ViewUpdate changesAsUpdate(Changes changes, boolean includesRules, long nowNanos) {
    return new ViewUpdate(
        revision,
        ageMillis(nowNanos),
        digest(),
        Math.max(newestAdvertisedRulesVersion, rulesVersion()),
        false,
        changes.registered(),
        changes.removed(),
        includesRules ? rules : Optional.empty());
  }

  /** Returns whether the view holds the result of a store read, by this or another entry. */
  boolean isInitialised() {
    return isInitialised;
  }

  /** Returns the usable targets: the registered ones and the expired ones still retained. */
  Collection<RegisteredTarget> targets() {
    List<RegisteredTarget> all = new ArrayList<>(targets.values());
    expiredTargets.values().forEach(entry -> all.add(entry.target()));
    return all;
  }

  Optional<RuleSet> rules() {
    return rules;
  }

  long rulesVersion() {
    return rules.map(RuleSet::version).orElse(0L);
  }

  /**
   * Returns whether another entry has advertised newer rules than those of this view. A read of the
   * changes after this revision may miss them, as the revision came with an update without rules.
   */
  boolean hasOutdatedRules() {
    return newestAdvertisedRulesVersion > rulesVersion();
  }

  long revision() {
    return revision;
  }

  /** Returns the monotonic time as of which the view reflects the store, in ns. */
  long asOfNanos() {
    return asOfNanos;
  }

  long ageMillis(long nowNanos) {
    return isInitialised ? Math.max(0, (nowNanos - asOfNanos) / NANOS_PER_MILLI) : Long.MAX_VALUE;
  }

  /** Returns a digest of the registered targets; equal views have equal digests. */
  long digest() {
    long digest = 0;
    for (RegisteredTarget target : targets.values()) {
      long hash = target.id().hashCode() * 31L + target.startedAtMillis();
      hash = hash * 31 + target.address().hashCode();
      hash = hash * 31 + target.service().hashCode();
      hash = hash * 31 + (target.leaving() ? 1 : 0);
      digest = digest * 1_000_003 + hash;
    }
    return digest;
  }

  private List<String> idsMissingFrom(List<RegisteredTarget> all) {
    List<String> names = new ArrayList<>(targets.keySet());
    all.forEach(target -> names.remove(target.id()));
    return names;
  }

  /** Ignores the remaining warm-up time, which differs with each registration. */
  private static boolean isUnchanged(RegisteredTarget a, RegisteredTarget b) {
    return a.isSameIncarnation(b) && a.leaving() == b.leaving() && a.slots() == b.slots();
  }
}
