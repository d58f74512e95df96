package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.RemovedTarget;
import org.chivecross.model.fleet.StoreChange;
import org.chivecross.model.fleet.StoreVersion;
import org.chivecross.model.fleet.TargetEvidence;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.fleet.ViewUpdate;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.ServiceRule;

/**
 * This entry's copy of the platform's store: the rules and the registered targets, as of one
 * version of the store. Not thread-safe.
 *
 * <p>Invariants: the versions of the rules and of the store never decrease. A registered target is
 * usable only if no evidence says that this run of it has left. An expired registration that is
 * retained exists in this entry only: it is in no digest and in no update, so its removal here
 * never removes a target from an entry that has received the renewed registration. Targets of a
 * data centre whose evacuation ends count as cold, since nothing says that they stayed warm.
 */
final class PlatformView {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final Map<String, RegisteredTarget> targets = new TreeMap<>();
  private final Map<String, ExpiredTarget> expiredTargets = new TreeMap<>();
  private Optional<RuleSet> rules = Optional.empty();
  private long newestAdvertisedRulesVersion;
  private final TargetEvidenceTable evidence = new TargetEvidenceTable();
  private final WarmUpTable warmUps;
  private Set<String> evacuated = Set.of();
  private StoreVersion version = StoreVersion.NONE;
  private long asOfNanos = Long.MIN_VALUE;
  private final StoreOutage outage = new StoreOutage();
  private boolean isInitialised;
  private long digest;
  private boolean isDigestCurrent;

  /** A target whose registration has expired in the store, and the end of its retention. */
  private record ExpiredTarget(RegisteredTarget target, long retainedUntilNanos) {}

  /** Changes that a read or an update made to the view. */
  record Changes(
      List<RegisteredTarget> registered,
      List<String> removed,
      boolean hasNewRules,
      boolean hasNewEvacuations) {

    boolean isEmpty() {
      return registered.isEmpty() && removed.isEmpty() && !hasNewRules && !hasNewEvacuations;
    }
  }

  /** Creates an empty view that records in {@code warmUps} what registrations say of warm-ups. */
  PlatformView(WarmUpTable warmUps) {
    this.warmUps = warmUps;
  }

  /**
   * Applies a read of the store that is not older than the view.
   *
   * @param sentNanos time at which the read was sent; its result is at least that recent
   */
  Changes apply(StoreChange change, long sentNanos, long nowNanos) {
    if (isInitialised) {
      outage.readAnswered(version, asOfNanos, change.version(), sentNanos);
    }
    List<String> removed = new ArrayList<>(change.removed());
    if (change.isSnapshot()) {
      removed.addAll(idsMissingFrom(change.registered()));
    }
    Changes changes =
        mergeChanges(
            change.registered(), removed, change.rules(), change.version(), sentNanos, nowNanos);
    Set<String> next = new TreeSet<>(change.isSnapshot() ? Set.of() : evacuated);
    next.addAll(change.evacuated());
    change.restored().forEach(next::remove);
    return withEvacuations(changes, next, nowNanos);
  }

  private Changes withEvacuations(Changes changes, Set<String> next, long nowNanos) {
    if (next.equals(evacuated)) {
      return changes;
    }
    Set<String> before = evacuated;
    evacuated = Set.copyOf(next);
    for (RegisteredTarget target : targets.values()) {
      String dataCentre = target.dataCentre();
      if (before.contains(dataCentre) && !evacuated.contains(dataCentre)) {
        warmUps.record(
            TargetEvidenceTable.incarnationOf(target),
            serviceRule(target.service()).map(ServiceRule::warmUpMillis).orElse(0L),
            nowNanos);
      }
    }
    return new Changes(changes.registered(), changes.removed(), changes.hasNewRules(), true);
  }

  /** Applies an update from another entry. */
  Changes apply(ViewUpdate update, long nowNanos) {
    long updateAsOfNanos = nowNanos - update.ageMillis() * NANOS_PER_MILLI;
    newestAdvertisedRulesVersion = Math.max(newestAdvertisedRulesVersion, update.rulesVersion());
    if (isInitialised && update.version().isBefore(version)) {
      return mergeChanges(List.of(), List.of(), update.rules(), version, asOfNanos, nowNanos);
    }
    if (isInitialised) {
      outage.readByAnother(version, asOfNanos, update.version(), updateAsOfNanos);
    }
    List<String> removed = new ArrayList<>(update.removed());
    if (update.isSnapshot()) {
      removed.addAll(idsMissingFrom(update.registered()));
    }
    boolean isComplete = isInitialised || update.isSnapshot();
    if (!isComplete) {
      return mergeChanges(List.of(), List.of(), update.rules(), version, asOfNanos, nowNanos);
    }
    Changes changes =
        mergeChanges(
            update.registered(),
            removed,
            update.rules(),
            update.version(),
            updateAsOfNanos,
            nowNanos);
    return withEvacuations(changes, update.evacuated().orElse(evacuated), nowNanos);
  }

  /** Returns whether a read of the store is older than the view. */
  boolean isOutdated(StoreChange change) {
    return isInitialised && change.version().isBefore(version);
  }

  /**
   * Returns whether changes are relative to another era than that of the view, so that they don't
   * say what else differs between the two.
   */
  boolean lacksEraOf(StoreChange change) {
    return isInitialised && !change.isSnapshot() && change.version().era() > version.era();
  }

  /**
   * Records that a run of a target announced its shutdown.
   *
   * @return whether this was not known
   */
  boolean recordLeaving(TargetIncarnation incarnation, long nowNanos) {
    return evidence.recordLeaving(incarnation, nowNanos);
  }

  /**
   * Adds the evidence of another entry.
   *
   * @return the runs that were not known to be leaving
   */
  List<TargetIncarnation> merge(TargetEvidence received, long nowNanos) {
    received.removed().forEach(removed -> recordRemovalElsewhere(removed, nowNanos));
    return received.leaving().stream()
        .filter(incarnation -> evidence.recordLeaving(incarnation, nowNanos))
        .toList();
  }

  /** Returns the evidence about targets, for an entry that has just started. */
  TargetEvidence evidence() {
    return evidence.all();
  }

  /** A removal that precedes the registration in this view says nothing new. */
  private void recordRemovalElsewhere(RemovedTarget removed, long nowNanos) {
    boolean isOfEarlierEra = removed.era() < version.era();
    if (isOfEarlierEra || !targets.containsKey(removed.incarnation().id())) {
      evidence.recordRemoval(removed, nowNanos);
    }
  }

  /** Drops expired registrations after their retention; returns whether there were any. */
  boolean expire(long nowNanos) {
    evidence.expire(targets.keySet(), nowNanos);
    return expiredTargets.values().removeIf(entry -> nowNanos >= entry.retainedUntilNanos());
  }

  /** Returns when {@link #expire} must be called at the latest. */
  long nextExpiryNanos() {
    return expiredTargets.values().stream()
        .mapToLong(ExpiredTarget::retainedUntilNanos)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** After an outage, retains a removed target that had not announced its shutdown. */
  private void retainAfterOutage(RegisteredTarget target, long nowNanos) {
    long retainedUntilNanos = outage.retainedUntilNanos();
    boolean isRetained = nowNanos < retainedUntilNanos;
    if (isRetained && !evidence.isLeaving(target) && !evidence.isRemoved(target)) {
      expiredTargets.put(target.id(), new ExpiredTarget(target, retainedUntilNanos));
    }
  }

  /** Records that a read of the store had no answer, or has had none for some time. */
  void readUnanswered(long sentNanos) {
    outage.readUnanswered(sentNanos);
  }

  private Changes mergeChanges(
      List<RegisteredTarget> registered,
      List<String> removed,
      Optional<RuleSet> newRules,
      StoreVersion newVersion,
      long newAsOfNanos,
      long nowNanos) {
    List<RegisteredTarget> changed = new ArrayList<>();
    for (RegisteredTarget target : registered) {
      if (register(target, newVersion, nowNanos)) {
        changed.add(target);
      }
    }
    List<String> dropped = new ArrayList<>();
    for (String id : removed) {
      RegisteredTarget target = targets.remove(id);
      if (target != null) {
        isDigestCurrent = false;
        dropped.add(id);
        retainAfterOutage(target, nowNanos);
        TargetIncarnation incarnation = TargetEvidenceTable.incarnationOf(target);
        evidence.recordRemoval(new RemovedTarget(incarnation, newVersion.era()), nowNanos);
      }
    }
    boolean hasNewRules =
        newRules.isPresent()
            && newRules.get().version() > rules.map(RuleSet::version).orElse(Long.MIN_VALUE);
    if (hasNewRules) {
      rules = newRules;
    }
    version = StoreVersion.later(version, newVersion);
    asOfNanos = Math.max(asOfNanos, newAsOfNanos);
    isInitialised |= newAsOfNanos != Long.MIN_VALUE;
    return new Changes(changed, dropped, hasNewRules, false);
  }

  /** Adds a registration; returns whether it differs from the known one. */
  private boolean register(RegisteredTarget target, StoreVersion newVersion, long nowNanos) {
    RegisteredTarget before = targets.get(target.id());
    boolean isEarlierRun =
        before != null
            && newVersion.era() > version.era()
            && target.startedAtMillis() < before.startedAtMillis();
    if (isEarlierRun) {
      return false;
    }
    boolean wasRemoved = evidence.isRemoved(target);
    evidence.registered(target, newVersion.era(), nowNanos);
    expiredTargets.remove(target.id());
    targets.put(target.id(), target);
    boolean isChanged = before == null || !isUnchanged(before, target);
    isDigestCurrent &= !isChanged;
    boolean isNewlyCold =
        warmUps.record(TargetEvidenceTable.incarnationOf(target), target.warmupMillis(), nowNanos);
    return isChanged || isNewlyCold || wasRemoved != evidence.isRemoved(target);
  }

  /** Returns the complete view as an update for another entry. */
  ViewUpdate snapshot(boolean includesRules, long nowNanos) {
    return new ViewUpdate(
        version,
        ageMillis(nowNanos),
        digest(),
        rulesVersion(),
        true,
        targets.values().stream().map(target -> warmUps.withRemaining(target, nowNanos)).toList(),
        List.of(),
        includesRules ? rules : Optional.empty(),
        Optional.of(evacuated));
  }

  /** Returns changes as an update for another entry. */
  ViewUpdate changesAsUpdate(Changes changes, boolean includesRules, long nowNanos) {
    return new ViewUpdate(
        version,
        ageMillis(nowNanos),
        digest(),
        Math.max(newestAdvertisedRulesVersion, rulesVersion()),
        false,
        changes.registered(),
        changes.removed(),
        includesRules ? rules : Optional.empty(),
        Optional.of(evacuated));
  }

  /** Returns whether the view holds the result of a store read, by this or another entry. */
  boolean isInitialised() {
    return isInitialised;
  }

  /**
   * Returns the targets that have not left: the registered ones and the expired ones still
   * retained, with the remaining time of their warm-up. Those that announced their shutdown are
   * leaving.
   */
  Collection<RegisteredTarget> targets(long nowNanos) {
    List<RegisteredTarget> all = new ArrayList<>();
    for (RegisteredTarget target : targets.values()) {
      if (!evidence.isRemoved(target)) {
        all.add(asKnown(target, nowNanos));
      }
    }
    expiredTargets.values().forEach(expired -> all.add(asKnown(expired.target(), nowNanos)));
    return all;
  }

  private RegisteredTarget asKnown(RegisteredTarget target, long nowNanos) {
    RegisteredTarget withWarmUp = warmUps.withRemaining(target, nowNanos);
    return evidence.isLeaving(target) ? withWarmUp.asLeaving() : withWarmUp;
  }

  /** Returns the data centres to whose targets nothing may be sent. */
  Set<String> evacuated() {
    return evacuated;
  }

  Optional<RuleSet> rules() {
    return rules;
  }

  /** Returns the settings of a service; empty if the rules in force don't name it. */
  Optional<ServiceRule> serviceRule(String service) {
    return rules.stream()
        .flatMap(set -> set.services().stream())
        .filter(rule -> rule.name().equals(service))
        .findFirst();
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

  StoreVersion version() {
    return version;
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
    if (!isDigestCurrent) {
      digest = computeDigest();
      isDigestCurrent = true;
    }
    return digest;
  }

  private long computeDigest() {
    long sum = 0;
    for (RegisteredTarget target : targets.values()) {
      long hash = target.id().hashCode() * 31L + target.startedAtMillis();
      hash = hash * 31 + target.address().hashCode();
      hash = hash * 31 + target.service().hashCode();
      hash = hash * 31 + (target.leaving() ? 1 : 0);
      sum = sum * 1_000_003 + hash;
    }
    return sum;
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
