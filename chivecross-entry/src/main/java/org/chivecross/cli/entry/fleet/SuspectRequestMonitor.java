package org.chivecross.cli.entry.fleet;

import org.chivecross.logic.dispatch.SuspectRequestPort;
import org.chivecross.logic.fleet.EvidenceGossip;
import org.chivecross.model.fleet.RequestStanding;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.registry.RegisteredTarget;
import org.tinylog.Logger;

/**
 * Shares with the other entries which requests ended targets, and logs what changes. Thread-safe:
 * all calls are made under the lock that guards the gossip node.
 */
final class SuspectRequestMonitor implements SuspectRequestPort {

  private final EvidenceGossip evidence;

  SuspectRequestMonitor(EvidenceGossip evidence) {
    this.evidence = evidence;
  }

  @Override
  public RequestStanding standing(long fingerprint, long nowNanos) {
    return evidence.standing(fingerprint, nowNanos);
  }

  @Override
  public void targetEnded(long fingerprint, RegisteredTarget target, long nowNanos) {
    TargetIncarnation incarnation = new TargetIncarnation(target.id(), target.startedAtMillis());
    int ended = evidence.targetEnded(fingerprint, incarnation, nowNanos);
    if (ended > 0) {
      Logger.warn(
          "target {} at {} ended while it ran a request with fingerprint {}; targets so far: {}",
          target.id(),
          target.address(),
          Long.toHexString(fingerprint),
          ended);
    }
  }

  @Override
  public void completed(long fingerprint, long nowNanos) {
    if (evidence.requestCompleted(fingerprint, nowNanos)) {
      Logger.info(
          "request with fingerprint {} completed and is no longer suspect",
          Long.toHexString(fingerprint));
    }
  }

  @Override
  public void tried(long fingerprint, long nowNanos) {
    evidence.requestTried(fingerprint, nowNanos);
    Logger.info("request with fingerprint {} is tried once more", Long.toHexString(fingerprint));
  }
}
