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
 * What this entry knows of the platform's store: the rules and the registered targets, each change
 * with the revision that it belongs to. Not thread-safe.
 *
 * <p>Invariants: the version of the rules never goes back; neither does the revision. A lapsed
 * registration is a belief of this entry alone: it is in no digest and in no news, so the end of
 * its time here never takes a target from an entry that knows it to be back.
 */
final class PlatformView {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /**
   * Time after an outage of the store in which registrations that lapsed meanwhile may come back. A
   * target that lives registers again within 2 s; the rest is for the read that tells it.
   */
  private static final long LAPSE_NANOS = 2_300 * NANOS_PER_MILLI;

  /** Step in the age of the view that tells an outage; the last in rank reads well before. */
  private static final long OUTAGE_NANOS = 1_600 * NANOS_PER_MILLI;

  private final Map<String, RegisteredTarget> targets = new TreeMap<>();
  private final Map<String, Lapsed> lapsed = new TreeMap<>();
  private Optional<RuleSet> rules = Optional.empty();
  private long newestRulesHeard;
  private long revision;
  private long asOfNanos = Long.MIN_VALUE;
  private long outageEndNanos = Long.MIN_VALUE / 2;
  private boolean known;

  /** A target whose registration is gone from the store, and until when it may come back. */
  private record Lapsed(RegisteredTarget target, long untilNanos) {}

  /** What an update changed. */
  record Update(List<RegisteredTarget> registered, List<String> removed, boolean newRules) {

    boolean isEmpty() {
      return registered.isEmpty() && removed.isEmpty() && !newRules;
    }
  }

  /**
   * Takes over a read of the store.
   *
   * @param sentNanos time at which the read was sent; the store is at least that new
   */
  Update apply(StoreChange change, long sentNanos, long nowNanos) {
    noteOutage(sentNanos);
    if (known && change.revision() < revision) {
      return new Update(List.of(), List.of(), false);
    }
    List<String> removed = new ArrayList<>(change.removed());
    if (change.isSnapshot()) {
      removed.addAll(missing(change.registered()));
    }
    keepLapsed(removed, nowNanos);
    return update(change.registered(), removed, change.rules(), change.revision(), sentNanos);
  }

  /** Takes over what another entry knows. */
  Update apply(ViewUpdate news, long nowNanos) {
    long asOf = nowNanos - news.ageMillis() * NANOS_PER_MILLI;
    newestRulesHeard = Math.max(newestRulesHeard, news.rulesVersion());
    noteOutage(asOf);
    if (known && news.revision() < revision) {
      return update(List.of(), List.of(), news.rules(), revision, asOfNanos);
    }
    List<String> removed = new ArrayList<>(news.removed());
    if (news.isSnapshot()) {
      removed.addAll(missing(news.registered()));
    }
    boolean complete = known || news.isSnapshot();
    if (!complete) {
      return update(List.of(), List.of(), news.rules(), revision, asOfNanos);
    }
    keepLapsed(removed, nowNanos);
    return update(news.registered(), removed, news.rules(), news.revision(), asOf);
  }

  /** Drops lapsed registrations that did not come back in time; returns whether there were any. */
  boolean expire(long nowNanos) {
    return lapsed.values().removeIf(entry -> nowNanos >= entry.untilNanos());
  }

  /** After an outage, keeps targets that did not tell that they leave. */
  private void keepLapsed(List<String> removed, long nowNanos) {
    if (nowNanos - outageEndNanos >= LAPSE_NANOS) {
      return;
    }
    for (String id : removed) {
      RegisteredTarget target = targets.get(id);
      if (target != null && !target.leaving()) {
        lapsed.put(id, new Lapsed(target, nowNanos + LAPSE_NANOS));
      }
    }
  }

  /** Nobody could read the store for a while, so registrations may have lapsed meanwhile. */
  private void noteOutage(long newAsOfNanos) {
    if (known && newAsOfNanos - asOfNanos > OUTAGE_NANOS) {
      outageEndNanos = newAsOfNanos;
    }
  }

  private Update update(
      List<RegisteredTarget> registered,
      List<String> removed,
      Optional<RuleSet> newRules,
      long newRevision,
      long newAsOfNanos) {
    List<RegisteredTarget> changed = new ArrayList<>();
    for (RegisteredTarget target : registered) {
      lapsed.remove(target.id());
      RegisteredTarget before = targets.put(target.id(), target);
      if (before == null || !isAlike(before, target)) {
        changed.add(target);
      }
    }
    List<String> dropped = new ArrayList<>();
    for (String id : removed) {
      if (targets.remove(id) != null) {
        dropped.add(id);
      }
    }
    boolean fresh =
        newRules.isPresent()
            && newRules.get().version() > rules.map(RuleSet::version).orElse(Long.MIN_VALUE);
    if (fresh) {
      rules = newRules;
    }
    revision = Math.max(revision, newRevision);
    asOfNanos = Math.max(asOfNanos, newAsOfNanos);
    known |= newAsOfNanos != Long.MIN_VALUE;
    return new Update(changed, dropped, fresh);
  }

  /** Returns everything as news for another entry. */
  ViewUpdate whole(boolean withRules, long nowNanos) {
    return new ViewUpdate(
        revision,
        ageMillis(nowNanos),
        digest(),
        rulesVersion(),
        true,
        List.copyOf(targets.values()),
        List.of(),
        withRules ? rules : Optional.empty());
  }

  /** Returns what an update changed as news for another entry. */
  ViewUpdate news(Update update, boolean withRules, long nowNanos) {
    return new ViewUpdate(
        revision,
        ageMillis(nowNanos),
        digest(),
        Math.max(newestRulesHeard, rulesVersion()),
        false,
        update.registered(),
        update.removed(),
        withRules ? rules : Optional.empty());
  }

  /** Returns whether the store was read, by whatever entry. */
  boolean isKnown() {
    return known;
  }

  /** Returns the targets that may be used: the registered ones and those that lapsed of late. */
  Collection<RegisteredTarget> targets() {
    List<RegisteredTarget> all = new ArrayList<>(targets.values());
    lapsed.values().forEach(entry -> all.add(entry.target()));
    return all;
  }

  Optional<RuleSet> rules() {
    return rules;
  }

  long rulesVersion() {
    return rules.map(RuleSet::version).orElse(0L);
  }

  /**
   * Returns whether newer rules exist than those known here. Changes after the known revision don't
   * tell them, as the revision came with news that lacked them.
   */
  boolean lacksRules() {
    return newestRulesHeard > rulesVersion();
  }

  long revision() {
    return revision;
  }

  /** Returns when the store was at the state that is known, in monotonic nanoseconds. */
  long asOfNanos() {
    return asOfNanos;
  }

  long ageMillis(long nowNanos) {
    return known ? Math.max(0, (nowNanos - asOfNanos) / NANOS_PER_MILLI) : Long.MAX_VALUE;
  }

  /** Returns a digest of the targets that two entries with the same view agree on. */
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

  private List<String> missing(List<RegisteredTarget> all) {
    List<String> names = new ArrayList<>(targets.keySet());
    all.forEach(target -> names.remove(target.id()));
    return names;
  }

  /** The remaining warm-up time differs with each registration and is no news. */
  private static boolean isAlike(RegisteredTarget a, RegisteredTarget b) {
    return a.isSameIncarnation(b) && a.leaving() == b.leaving() && a.slots() == b.slots();
  }
}
