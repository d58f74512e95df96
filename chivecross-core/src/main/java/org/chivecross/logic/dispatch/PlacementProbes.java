package org.chivecross.logic.dispatch;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The probes sent for the placement of requests, within the probe budget. Requests that want to
 * probe the same target share one probe. Not thread-safe.
 */
final class PlacementProbes {

  /**
   * Targets probed in one round. Most targets are good enough, so that a second probe at the same
   * time would mostly be wasted; a slow target costs one more round trip.
   */
  private static final int PROBES_PER_ROUND = 1;

  /**
   * Probes for one placement, also of a request that waits: while all targets are busy, more would
   * only take their time.
   */
  private static final int MAX_PROBES_PER_PLACEMENT = 8;

  private final ProbeSender sender;
  private final DispatchTargetTable targets;
  private final TargetRanking ranking;
  private final ProbeTokenBucket tokens;
  private final Map<Integer, Set<PlacementTicket>> ticketsByProbedRow = new HashMap<>();

  PlacementProbes(
      ProbeSender sender,
      DispatchTargetTable targets,
      TargetRanking ranking,
      ProbeTokenBucket tokens) {
    this.sender = sender;
    this.targets = targets;
    this.ranking = ranking;
    this.tokens = tokens;
  }

  /**
   * Probes more targets for a request.
   *
   * @param share this entry's share of the probe budget, from 0 to 1
   * @return false when no target is left to probe or the probe budget is used up
   */
  boolean startRound(PlacementTicket ticket, int[] rows, double share, long nowNanos) {
    int sent = 0;
    while (sent < PROBES_PER_ROUND && ticket.probeCount() < MAX_PROBES_PER_PLACEMENT) {
      int row = ranking.nextToProbe(ticket, rows, nowNanos);
      if (row == DispatchTargetTable.NONE || !ensureProbing(row, share, nowNanos)) {
        break;
      }
      ticket.probeSent(row);
      ticketsByProbedRow.computeIfAbsent(row, r -> new LinkedHashSet<>()).add(ticket);
      sent++;
    }
    if (sent > 0) {
      ticket.probeRoundStarted();
    }
    return sent > 0;
  }

  /**
   * Probes a target unless a probe of it is outstanding.
   *
   * @return whether a probe of the target is outstanding now; false when the budget is used up
   */
  boolean ensureProbing(int row, double share, long nowNanos) {
    if (targets.isProbing(row)) {
      return true;
    }
    if (!tokens.tryTake(targets.usableCount(), share, nowNanos)) {
      return false;
    }
    targets.setProbing(row, true);
    sender.send(row);
    return true;
  }

  /** Handles the end of a probe: the requests that waited for it are placed again. */
  void ended(int row) {
    targets.setProbing(row, false);
    Set<PlacementTicket> waiting = ticketsByProbedRow.remove(row);
    if (waiting != null) {
      waiting.forEach(ticket -> ticket.probeEnded(row));
    }
  }
}
