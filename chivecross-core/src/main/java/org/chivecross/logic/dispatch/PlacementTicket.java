package org.chivecross.logic.dispatch;

import java.util.BitSet;
import java.util.HashSet;
import java.util.Set;
import org.chivecross.model.ruleset.RouteRule;

/**
 * Placement state of one request: its properties and the targets that were probed or tried. Not
 * thread-safe; the same ticket is used when the request is sent again.
 */
public final class PlacementTicket {

  private final RouteRule route;
  private final String service;
  private final long arrivedNanos;
  private final long deadlineNanos;
  private final long bodyBytes;
  private final Runnable schedulePlacement;
  private final BitSet tried = new BitSet();
  private final BitSet probed = new BitSet();
  private final BitSet outstandingProbes = new BitSet();
  private final Set<Integer> forwardedTo = new HashSet<>(1);
  private boolean mayBeForwarded = true;
  private boolean returned;
  private int failedConnects;
  private long placingSinceNanos;
  private int probeRounds;
  private int probeCount;
  private long nextProbeNanos = Long.MIN_VALUE;
  private boolean hasYielded;

  /**
   * Creates the ticket of a request that arrived.
   *
   * @param service service that was chosen among those of the route
   * @param deadlineNanos monotonic time after which the answer is no longer needed
   * @param bodyBytes size of the request body
   * @param schedulePlacement runs when a probe of this request ends
   */
  PlacementTicket(
      RouteRule route,
      String service,
      long arrivedNanos,
      long deadlineNanos,
      long bodyBytes,
      Runnable schedulePlacement) {
    this.route = route;
    this.service = service;
    this.arrivedNanos = arrivedNanos;
    this.deadlineNanos = deadlineNanos;
    this.bodyBytes = bodyBytes;
    this.schedulePlacement = schedulePlacement;
    placingSinceNanos = arrivedNanos;
  }

  /** Keeps the request here; another entry forwarded it. */
  public void forbidForwarding() {
    mayBeForwarded = false;
  }

  /** Records that a target could not be connected, so that nothing was sent to it. */
  public void connectFailed() {
    failedConnects++;
  }

  boolean mayBeForwarded() {
    return mayBeForwarded;
  }

  int failedConnects() {
    return failedConnects;
  }

  boolean isReturned() {
    return returned;
  }

  /** Keeps the request here while an entry that was isolated returns to its targets. */
  void markReturned() {
    returned = true;
  }

  boolean isForwardedTo(int row) {
    return forwardedTo.contains(row);
  }

  void markForwarded(int row) {
    forwardedTo.add(row);
  }

  /** Returns the route of the request. */
  public RouteRule route() {
    return route;
  }

  /** Returns the service that the request goes to, also when it is sent again. */
  public String service() {
    return service;
  }

  /** Returns when the request arrived, in monotonic nanoseconds. */
  public long arrivedNanos() {
    return arrivedNanos;
  }

  /** Returns the time after which the answer is no longer needed, in monotonic nanoseconds. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  long bodyBytes() {
    return bodyBytes;
  }

  long placingSinceNanos() {
    return placingSinceNanos;
  }

  int probeRounds() {
    return probeRounds;
  }

  /** Returns the number of probes for this placement. */
  int probeCount() {
    return probeCount;
  }

  boolean isTried(int target) {
    return tried.get(target);
  }

  boolean isProbed(int target) {
    return probed.get(target);
  }

  boolean hasOutstandingProbes() {
    return !outstandingProbes.isEmpty();
  }

  void markTried(int target) {
    tried.set(target);
  }

  /** Starts the placement on another target. */
  void placeAgain(long nowNanos) {
    placingSinceNanos = nowNanos;
    probeCount = 0;
    nextProbeNanos = Long.MIN_VALUE;
    restartProbeRounds();
  }

  /** Starts over with the first probe round, since the reports received so far are too old. */
  void restartProbeRounds() {
    probeRounds = 0;
    probed.clear();
  }

  /** Returns when a request that waits under pressure may send its next probe. */
  long nextProbeNanos() {
    return nextProbeNanos;
  }

  /** Lets a request that waits under pressure send its next probe at a time. */
  void probeNotBefore(long nanos) {
    nextProbeNanos = nanos;
  }

  /** Records that the request yielded; returns whether it had not done so before. */
  boolean markYielded() {
    boolean isFirst = !hasYielded;
    hasYielded = true;
    return isFirst;
  }

  void probeRoundStarted() {
    probeRounds++;
  }

  void probeSent(int target) {
    probeCount++;
    probed.set(target);
    outstandingProbes.set(target);
  }

  /** Records the end of a probe; schedules the placement when this request waited for the probe. */
  void probeEnded(int target) {
    if (outstandingProbes.get(target)) {
      outstandingProbes.clear(target);
      schedulePlacement.run();
    }
  }
}
