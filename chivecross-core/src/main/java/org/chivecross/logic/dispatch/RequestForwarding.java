package org.chivecross.logic.dispatch;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;

/**
 * Forwards requests to other entries while this entry reaches no target.
 *
 * <p>Invariants: a request that another entry forwarded is not forwarded again; a request that may
 * have been sent to a target is not forwarded unless it may be retried. Not thread-safe.
 */
public final class RequestForwarding {

  /** Time between two updates of the entries that may be used. */
  private static final long UPDATE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time between two probes of targets while this entry is isolated. */
  private static final long PROBE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Targets that a request can't connect to before it is forwarded. */
  private static final int MAX_FAILED_CONNECTS = 2;

  private final ForwardingPort port;
  private final DispatchTargetTable targets;
  private final PlacementProbes probes;
  private final DoubleSupplier budgetShare;
  private final RandomGenerator random;
  private final UpstreamReachability reachability = new UpstreamReachability();
  private final ForwardingTable entries = new ForwardingTable();
  private long updatedNanos = Long.MIN_VALUE / 2;
  private long nextProbeNanos = Long.MAX_VALUE;
  private long forwardedCount;

  /**
   * Creates the forwarding of an entry that reaches its targets.
   *
   * @param budgetShare this entry's share of the probe budget, from 0 to 1
   */
  RequestForwarding(
      ForwardingPort port,
      DispatchTargetTable targets,
      PlacementProbes probes,
      DoubleSupplier budgetShare,
      RandomGenerator random) {
    this.port = port;
    this.targets = targets;
    this.probes = probes;
    this.budgetShare = budgetShare;
    this.random = random;
  }

  /** Returns whether a row denotes another entry and not a target. */
  public static boolean isEntry(int row) {
    return row >= ForwardingTable.FIRST_ROW;
  }

  /** Returns whether this entry reaches no target. */
  public boolean isIsolated() {
    return reachability.isIsolated();
  }

  /** Returns the IP address of the entry of a row. */
  public Optional<String> ip(int row) {
    return entries.ip(row);
  }

  /** Returns when {@link #tick} must be called at the latest. */
  public long nextTickNanos() {
    return nextProbeNanos;
  }

  /**
   * Probes a target at random while this entry is isolated, to detect that it reaches them again.
   */
  public void tick(long nowNanos) {
    if (nowNanos < nextProbeNanos) {
      return;
    }
    nextProbeNanos = nowNanos + PROBE_PERIOD_NANOS;
    int[] rows = targets.usableRows();
    if (rows.length > 0) {
      probes.ensureProbing(rows[random.nextInt(rows.length)], budgetShare.getAsDouble(), nowNanos);
    }
  }

  /**
   * Chooses the entry to which a request is forwarded.
   *
   * @return its row, or {@link ForwardingTable#NONE} if the request is placed on a target
   */
  int choose(PlacementTicket ticket, long nowNanos) {
    if (!ticket.mayBeForwarded() || isPlacedHere(ticket, nowNanos)) {
      return ForwardingTable.NONE;
    }
    if (nowNanos - updatedNanos >= UPDATE_PERIOD_NANOS) {
      updatedNanos = nowNanos;
      entries.apply(port.entries(nowNanos));
    }
    int row = entries.choose(ticket, random, nowNanos);
    if (row != ForwardingTable.NONE) {
      ticket.markForwarded(row);
    }
    return row;
  }

  private boolean isPlacedHere(PlacementTicket ticket, long nowNanos) {
    double fraction = reachability.placedFraction(nowNanos);
    if (ticket.failedConnects() >= MAX_FAILED_CONNECTS || fraction == 0) {
      return false;
    }
    if (fraction < 1 && !ticket.isReturned()) {
      if (random.nextDouble() >= fraction) {
        return false;
      }
      ticket.markReturned();
    }
    return true;
  }

  void started(int row) {
    forwardedCount++;
    entries.started(row);
  }

  void ended(int row) {
    entries.ended(row);
  }

  /** Records that an entry could not be reached or turned a request away. */
  void failed(int row, long nowNanos) {
    entries.ended(row);
    entries.pause(row, nowNanos);
  }

  /** Returns the number of requests that were forwarded. */
  public long forwardedCount() {
    return forwardedCount;
  }

  /** Returns the number of requests forwarded to an entry that it has not answered yet. */
  public int inFlight(int row) {
    return entries.inFlight(row);
  }

  DispatchEvent.TargetLoad load(int row) {
    return new DispatchEvent.TargetLoad(
        "entry " + entries.ip(row).orElse(""), entries.inFlight(row), 0, 0, -1);
  }

  /** Records that a target responded to a probe or an attempt. */
  public void targetResponded(int row, long nowNanos) {
    if (reachability.recordResponse(row, targets.usableCount(), nowNanos)) {
      nextProbeNanos = Long.MAX_VALUE;
      targets.forgetFailures();
      port.isolationChanged(this, nowNanos);
    }
  }

  /** Records that a probe or an attempt ended without a response. */
  void targetFailed(int row, long nowNanos) {
    if (reachability.recordFailure(row, targets.usableCount(), nowNanos)) {
      nextProbeNanos = nowNanos + PROBE_PERIOD_NANOS;
      port.isolationChanged(this, nowNanos);
    }
  }
}
