package org.chivecross.logic.dispatch;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.admission.Admission;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.request.ProbeResult;
import org.chivecross.model.request.ResponseHead;

/**
 * Evaluates what targets say of themselves in responses to requests and probes. Keeps no state of
 * its own. Not thread-safe.
 */
final class TargetResponses {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final DispatchTargetTable targets;
  private final LimitedTargets limitedTargets;
  private final CollisionCounter collisions;
  private final Admission admission;
  private final RequestForwarding forwarding;
  private final CrashDetection crashes;
  private final PlacementProbes probes;
  private final LeavingListener leavingListener;

  TargetResponses(
      DispatchTargetTable targets,
      LimitedTargets limitedTargets,
      CollisionCounter collisions,
      Admission admission,
      RequestForwarding forwarding,
      CrashDetection crashes,
      PlacementProbes probes,
      LeavingListener leavingListener) {
    this.targets = targets;
    this.limitedTargets = limitedTargets;
    this.collisions = collisions;
    this.admission = admission;
    this.forwarding = forwarding;
    this.crashes = crashes;
    this.probes = probes;
    this.leavingListener = leavingListener;
  }

  /** Takes note of a shutdown, a hold-off, a request limit or a warm-up. */
  void announced(int row, ResponseHead head, long nowNanos) {
    if (head.requestLimit().isPresent()) {
      limitedTargets.stated(row, head.requestLimit(), nowNanos);
    }
    head.warmUpMillis().ifPresent(millis -> limitedTargets.warmingUp(row, millis, nowNanos));
    head.holdOffMillis()
        .ifPresent(millis -> targets.holdOff(row, nowNanos + millis * NANOS_PER_MILLI));
    if (head.leaving() && targets.markLeaving(row)) {
      targets.target(row).ifPresent(leavingListener::announced);
    }
  }

  /** Stores the load report of a response to a request. */
  void loadReported(int row, LoadReport report, long nowNanos) {
    targets.report(row, report, nowNanos);
    collisions.reported(row, report, nowNanos);
  }

  /** Handles the end of a probe. */
  void probeEnded(int row, ProbeResult result, long nowNanos) {
    if (result instanceof ProbeResult.Responded responded) {
      probeEnded(row, responded.healthy(), Optional.of(responded.head()), nowNanos);
      return;
    }
    if (result instanceof ProbeResult.NotMade) {
      crashes.probeEnded(row);
      probes.ended(row);
      return;
    }
    if (result instanceof ProbeResult.Failed failed && failed.refused()) {
      crashes.connectionRefused(row, nowNanos);
    }
    probeEnded(row, false, Optional.empty(), nowNanos);
  }

  /** Handles the end of a probe; {@code head} is empty when the target did not answer in time. */
  void probeEnded(int row, boolean healthy, Optional<ResponseHead> head, long nowNanos) {
    head.ifPresent(answer -> announced(row, answer, nowNanos));
    head.flatMap(ResponseHead::load).ifPresent(load -> probeReported(row, load, nowNanos));
    if (!healthy) {
      targets.failed(row, 1, nowNanos);
    }
    if (head.isPresent()) {
      forwarding.targetResponded(row, nowNanos);
    } else {
      forwarding.targetFailed(row, nowNanos);
    }
    crashes.probeEnded(row);
    probes.ended(row);
  }

  private void probeReported(int row, LoadReport report, long nowNanos) {
    loadReported(row, report, nowNanos);
    targets.target(row).ifPresent(target -> admission.reported(target.service(), report, nowNanos));
  }
}
