package org.chivecross.cli.entry.fleet;

import java.util.Optional;
import java.util.OptionalDouble;
import org.chivecross.logic.dispatch.RequestLimitPort;
import org.chivecross.logic.fleet.EvidenceGossip;
import org.chivecross.model.fleet.LimitShare;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.registry.RegisteredTarget;
import org.tinylog.Logger;

/**
 * Shares the request limits and warm-ups of targets with the other entries and logs their changes.
 * Thread-safe: all calls are made under the lock that guards the gossip node.
 */
final class RequestLimitMonitor implements RequestLimitPort {

  private final EvidenceGossip evidence;

  RequestLimitMonitor(EvidenceGossip evidence) {
    this.evidence = evidence;
  }

  @Override
  public Optional<LimitShare> shareOf(RegisteredTarget target, long nowNanos) {
    return evidence.share(target, nowNanos);
  }

  @Override
  public void responded(RegisteredTarget target, OptionalDouble requestsPerSecond, long nowNanos) {
    TargetIncarnation incarnation = incarnationOf(target);
    if (!evidence.limitStated(incarnation, requestsPerSecond, nowNanos)) {
      return;
    }
    if (requestsPerSecond.isEmpty()) {
      Logger.info("target {} at {} no longer names a request limit", target.id(), target.address());
      return;
    }
    Logger.info(
        "target {} at {} takes {} requests a second from all entries; share of this entry {}",
        target.id(),
        target.address(),
        requestsPerSecond.getAsDouble(),
        evidence.limitShare(incarnation, nowNanos).map(LimitShare::requestsPerSecond).orElse(0.0));
  }

  @Override
  public void warmingUp(RegisteredTarget target, long remainingMillis, long nowNanos) {
    if (evidence.warmingUp(incarnationOf(target), remainingMillis, nowNanos)) {
      Logger.info(
          "target {} at {} warms up for {} ms; share of this entry {}",
          target.id(),
          target.address(),
          remainingMillis,
          evidence.share(target, nowNanos).map(LimitShare::requestsPerSecond).orElse(0.0));
    }
  }

  private static TargetIncarnation incarnationOf(RegisteredTarget target) {
    return new TargetIncarnation(target.id(), target.startedAtMillis());
  }
}
