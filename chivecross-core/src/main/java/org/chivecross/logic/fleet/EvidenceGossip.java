package org.chivecross.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.chivecross.model.fleet.FleetMessage;
import org.chivecross.model.fleet.LimitShare;
import org.chivecross.model.fleet.RequestStanding;
import org.chivecross.model.fleet.SuspectRequest;
import org.chivecross.model.fleet.TargetEvidence;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.fleet.TargetLimit;
import org.chivecross.model.fleet.TargetWarmUp;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.ruleset.ServiceRule;

/**
 * Exchanges with other entries what attempts show about targets and requests: that a target leaves,
 * how many requests it takes, or that it ended under a request. Not thread-safe.
 *
 * <p>Invariants: what is new is sent at once to the own data centre and to one entry in each other
 * one, which relays it there; request limits, warm-ups and blocked requests are repeated with
 * heartbeats, since messages may be lost.
 */
public final class EvidenceGossip {

  private final FleetPreferences preferences;
  private final FleetPort port;
  private final FleetMembership membership;
  private final PlatformView view;
  private final FleetMessageFactory messages;
  private final TargetLimitTable limits = new TargetLimitTable();
  private final LimitDivision division;
  private final SuspectRequestTable suspects = new SuspectRequestTable();
  private final WarmUpTable warmUps;

  EvidenceGossip(
      FleetPreferences preferences,
      FleetPort port,
      FleetMembership membership,
      PlatformView view,
      WarmUpTable warmUps,
      FleetMessageFactory messages) {
    this.preferences = preferences;
    this.port = port;
    this.membership = membership;
    this.view = view;
    this.warmUps = warmUps;
    this.messages = messages;
    division = new LimitDivision(preferences.ip());
  }

  /**
   * Updates the entries that share the limits and drops outdated evidence.
   *
   * @param expectsOthers whether other entries are likely to run although none is known
   */
  void tick(boolean expectsOthers, long nowNanos) {
    division.recordEntries(
        membership.members(nowNanos), messages.isServing(), expectsOthers, nowNanos);
    limits.expire(nowNanos);
    suspects.expire(nowNanos);
    warmUps.expire(nowNanos);
  }

  /**
   * Records that a run of a target said that it warms up, and sends that on if it is new.
   *
   * @param remainingMillis time until it is warm, in ms; 0 or less if it is warm
   * @return whether this was not known
   */
  public boolean warmingUp(TargetIncarnation target, long remainingMillis, long nowNanos) {
    boolean isNew = warmUps.record(target, remainingMillis, nowNanos);
    if (isNew) {
      TargetWarmUp warmUp = new TargetWarmUp(target, warmUps.remainingMillis(target, nowNanos));
      publish(TargetEvidence.warmUps(List.of(warmUp)), nowNanos);
    }
    return isNew;
  }

  /**
   * Returns this entry's share of the requests that a target takes: the smaller one if it both has
   * a limit and warms up; empty if it takes any number.
   */
  public Optional<LimitShare> share(RegisteredTarget target, long nowNanos) {
    TargetIncarnation incarnation = TargetEvidenceTable.incarnationOf(target);
    Optional<LimitShare> limited = limitShare(incarnation, nowNanos);
    Optional<LimitShare> cold = warmUpShare(target, nowNanos);
    boolean isColdSmaller =
        cold.isPresent()
            && (limited.isEmpty()
                || cold.get().requestsPerSecond() < limited.get().requestsPerSecond());
    return isColdSmaller ? cold : limited;
  }

  private Optional<LimitShare> warmUpShare(RegisteredTarget target, long nowNanos) {
    if (warmUps.remainingMillis(TargetEvidenceTable.incarnationOf(target), nowNanos) == 0) {
      return Optional.empty();
    }
    double perSecond =
        view.serviceRule(target.service()).map(ServiceRule::warmUpRequestsPerSecond).orElse(0.0);
    return perSecond > 0
        ? Optional.of(division.warmUpShareOf(target.id(), perSecond, nowNanos))
        : Optional.empty();
  }

  /** Returns the number of targets that warm up. */
  public int warmUpCount() {
    return warmUps.size();
  }

  /** Records that a run of a target announced its shutdown, and sends a new announcement on. */
  public void leavingAnnounced(TargetIncarnation incarnation, long nowNanos) {
    if (view.recordLeaving(incarnation, nowNanos)) {
      port.viewChanged(false);
      publish(TargetEvidence.leaving(incarnation), nowNanos);
    }
  }

  /**
   * Records what a response of a run of a target said about its request limit, and sends a change
   * on.
   *
   * @param requestsPerSecond the limit for all entries together; empty if it named none
   * @return whether it differs from what was known
   */
  public boolean limitStated(
      TargetIncarnation target, OptionalDouble requestsPerSecond, long nowNanos) {
    boolean isChange = limits.record(target, requestsPerSecond, nowNanos);
    if (isChange) {
      TargetLimit limit = new TargetLimit(target, requestsPerSecond, 0);
      publish(TargetEvidence.limits(List.of(limit)), nowNanos);
    }
    return isChange;
  }

  /** Returns this entry's share of the request limit of a target; empty if it has no limit. */
  public Optional<LimitShare> limitShare(TargetIncarnation target, long nowNanos) {
    return limits
        .find(target, nowNanos)
        .map(
            limit ->
                division.shareOf(
                    target.id(), limit.requestsPerSecond().orElse(0), limit.ageMillis(), nowNanos));
  }

  /**
   * Returns whether a request may be sent to targets now. A blocked request is tried by the entry
   * that a rendezvous hash names.
   */
  public RequestStanding standing(long fingerprint, long nowNanos) {
    return suspects.standing(fingerprint, () -> division.isFirst(fingerprint, nowNanos), nowNanos);
  }

  /**
   * Records that a run of a target ended while it ran a request, and sends that on if it is new.
   *
   * @return the targets that have ended under the request; 0 if this was known
   */
  public int targetEnded(long fingerprint, TargetIncarnation target, long nowNanos) {
    if (!suspects.recordEnd(fingerprint, target, nowNanos)) {
      return 0;
    }
    publishSuspect(fingerprint, nowNanos);
    return suspects.standing(fingerprint, () -> false, nowNanos).endedTargets();
  }

  /**
   * Records that a target completed a request, and sends on that it is no longer suspect.
   *
   * @return whether it was suspect
   */
  public boolean requestCompleted(long fingerprint, long nowNanos) {
    boolean isChange = suspects.recordCompletion(fingerprint, nowNanos);
    if (isChange) {
      publishSuspect(fingerprint, nowNanos);
    }
    return isChange;
  }

  /** Records that a suspect request is sent to a target once more. */
  public void requestTried(long fingerprint, long nowNanos) {
    suspects.recordTrial(fingerprint, nowNanos);
  }

  /** Returns the number of requests that are kept from targets. */
  public int blockedRequestCount() {
    return suspects.blockedCount();
  }

  private void publishSuspect(long fingerprint, long nowNanos) {
    List<SuspectRequest> described = suspects.describe(List.of(fingerprint), nowNanos);
    publish(TargetEvidence.suspects(described), nowNanos);
  }

  /** Returns the number of targets with a request limit. */
  public int limitCount() {
    return limits.size();
  }

  /**
   * Adds the evidence of a message; sends what is new from another data centre on within this one.
   */
  void received(FleetMessage message, long nowNanos) {
    List<TargetIncarnation> newlyLeaving = view.merge(message.evidence(), nowNanos);
    List<TargetLimit> changedLimits = limits.merge(message.evidence().limits(), nowNanos);
    List<Long> changedSuspects = suspects.merge(message.evidence().suspects(), nowNanos);
    List<TargetWarmUp> newWarmUps = warmUps.merge(message.evidence().warmUps(), nowNanos);
    TargetEvidence changed =
        new TargetEvidence(
            newlyLeaving,
            List.of(),
            changedLimits,
            suspects.describe(changedSuspects, nowNanos),
            newWarmUps);
    boolean changesTargets =
        !newlyLeaving.isEmpty() || !message.evidence().removed().isEmpty() || !newWarmUps.isEmpty();
    if (changesTargets) {
      port.viewChanged(false);
    }
    if (!message.dataCentre().equals(preferences.dataCentre()) && !changed.isEmpty()) {
      port.send(membership.localIps(nowNanos), messages.createEvidenceUpdate(changed));
    }
  }

  /** Returns all evidence, for an entry that has just started. */
  TargetEvidence all(long nowNanos) {
    return view.evidence()
        .with(limits.newest(nowNanos), suspects.newest(nowNanos), warmUps.current(nowNanos));
  }

  /** Returns the evidence that is repeated with heartbeats. */
  TargetEvidence repeated(long nowNanos) {
    return TargetEvidence.NONE.with(
        limits.newest(nowNanos), suspects.newestBlocked(nowNanos), warmUps.current(nowNanos));
  }

  private void publish(TargetEvidence evidence, long nowNanos) {
    FleetMessage update = messages.createEvidenceUpdate(evidence);
    port.send(membership.localIps(nowNanos), update);
    port.send(membership.firstRemoteIps(nowNanos), update);
  }
}
