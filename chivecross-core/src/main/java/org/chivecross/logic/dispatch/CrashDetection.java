package org.chivecross.logic.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.chivecross.model.fleet.RequestStanding;
import org.chivecross.model.registry.RegisteredTarget;

/**
 * Finds out which requests targets ran when they ended, and keeps requests under which several
 * targets ended from further ones. Not thread-safe.
 *
 * <p>A closed connection alone is no evidence: targets also close single connections. The target
 * has ended if it refuses new connections shortly afterwards, which a probe finds out. Invariant:
 * the attempts of a request whose connections were closed count until the probe has ended.
 */
public final class CrashDetection {

  /** Time from the close of a connection in which the target must refuse a new one. */
  private static final long CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Targets that may end under one request before it is no longer retried here. */
  private static final int MAX_ENDED_BEFORE_RETRY = 1;

  /** Retry delay while another attempt of a suspect request is in flight, in ms. */
  private static final long IN_FLIGHT_RETRY_MILLIS = 250;

  /** An attempt whose connection was closed without a response. */
  private record ClosedAttempt(long fingerprint, RegisteredTarget target, long closedNanos) {

    boolean isRecent(long nowNanos) {
      return nowNanos - closedNanos <= CONFIRMATION_NANOS;
    }
  }

  private final SuspectRequestPort port;
  private final DispatchTargetTable targets;
  private final PlacementProbes probes;
  private final DoubleSupplier budgetShare;
  private final Map<Integer, List<ClosedAttempt>> closedByRow = new HashMap<>();
  private final Set<Long> suspectsInFlight = new HashSet<>();
  private long blockedCount;

  /**
   * Creates a detection without evidence.
   *
   * @param budgetShare this entry's share of the probe budget, from 0 to 1
   */
  CrashDetection(
      SuspectRequestPort port,
      DispatchTargetTable targets,
      PlacementProbes probes,
      DoubleSupplier budgetShare) {
    this.port = port;
    this.targets = targets;
    this.probes = probes;
    this.budgetShare = budgetShare;
  }

  /**
   * Returns the time for which a request must not be sent to a target, in ms; 0 if it may be sent.
   */
  public long blockedMillis(long fingerprint, long nowNanos) {
    RequestStanding standing = port.standing(fingerprint, nowNanos);
    boolean waitsForOther =
        standing.endedTargets() > MAX_ENDED_BEFORE_RETRY && suspectsInFlight.contains(fingerprint);
    long millis =
        waitsForOther
            ? Math.max(IN_FLIGHT_RETRY_MILLIS, standing.blockedMillis())
            : standing.blockedMillis();
    blockedCount += millis > 0 ? 1 : 0;
    return millis;
  }

  /** Returns whether a request may be sent to a second target, after or beside the first. */
  public boolean mayResend(long fingerprint, long nowNanos) {
    long closed =
        closedByRow.values().stream()
            .filter(
                attempts ->
                    attempts.stream()
                        .anyMatch(a -> a.fingerprint() == fingerprint && a.isRecent(nowNanos)))
            .count();
    return port.standing(fingerprint, nowNanos).endedTargets() + closed <= MAX_ENDED_BEFORE_RETRY;
  }

  /**
   * Records that a request is sent to a target.
   *
   * @return whether {@link #ended} must be called when none of its attempts is in flight any more
   */
  public boolean sent(long fingerprint, long nowNanos) {
    if (port.standing(fingerprint, nowNanos).endedTargets() <= MAX_ENDED_BEFORE_RETRY) {
      return false;
    }
    suspectsInFlight.add(fingerprint);
    port.tried(fingerprint, nowNanos);
    return true;
  }

  /** Records that no attempt of a request is in flight any more. */
  public void ended(long fingerprint) {
    suspectsInFlight.remove(fingerprint);
  }

  /** Records that a target responded to a request that it ran. */
  public void completed(long fingerprint, long nowNanos) {
    port.completed(fingerprint, nowNanos);
  }

  /** Records that an attempt's connection was closed before a response; probes the target. */
  public void connectionClosed(int row, long fingerprint, long nowNanos) {
    Optional<RegisteredTarget> target = targets.target(row);
    if (target.isEmpty() || targets.isLeaving(row)) {
      return;
    }
    List<ClosedAttempt> attempts = closedByRow.computeIfAbsent(row, r -> new ArrayList<>());
    attempts.removeIf(attempt -> !attempt.isRecent(nowNanos));
    attempts.add(new ClosedAttempt(fingerprint, target.get(), nowNanos));
    probes.ensureProbing(row, budgetShare.getAsDouble(), nowNanos);
  }

  /** Records that a target refused a connection. */
  public void connectionRefused(int row, long nowNanos) {
    List<ClosedAttempt> attempts = closedByRow.remove(row);
    if (attempts == null) {
      return;
    }
    for (ClosedAttempt attempt : attempts) {
      if (attempt.isRecent(nowNanos)) {
        port.targetEnded(attempt.fingerprint(), attempt.target(), nowNanos);
      }
    }
  }

  /** Records the end of a probe that was not refused. */
  void probeEnded(int row) {
    closedByRow.remove(row);
  }

  /**
   * Returns how often a request was kept from targets because of the targets that ended under it.
   */
  public long blockedCount() {
    return blockedCount;
  }
}
