package org.chivecross.logic.dispatch;

import java.util.BitSet;
import org.chivecross.model.ruleset.RouteRule;

/**
 * A request on its way to a target: what is known of it and which targets were asked. Not
 * thread-safe; one ticket serves one request, also when it is sent again.
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
  private long placingSinceNanos;
  private int probeRounds;

  /**
   * Creates the ticket of a request that arrived.
   *
   * @param service service that was chosen among those of the route
   * @param deadlineNanos monotonic time after which nobody waits for the answer
   * @param bodyBytes size of the request's body
   * @param wake runs when the load of a target that was asked is known
   */
  PlacementTicket(
      RouteRule route,
      String service,
      long arrivedNanos,
      long deadlineNanos,
      long bodyBytes,
      Runnable wake) {
    this.route = route;
    this.service = service;
    this.arrivedNanos = arrivedNanos;
    this.deadlineNanos = deadlineNanos;
    this.bodyBytes = bodyBytes;
    this.schedulePlacement = wake;
    placingSinceNanos = arrivedNanos;
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

  /** Returns when nobody waits for the answer any more, in monotonic nanoseconds. */
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

  /** Starts to look for another target. */
  void placeAgain(long nowNanos) {
    placingSinceNanos = nowNanos;
    restartProbeRounds();
  }

  /** Forgets which targets were asked, since what they said is too old. */
  void restartProbeRounds() {
    probeRounds = 0;
    probed.clear();
  }

  void probeRoundStarted() {
    probeRounds++;
  }

  void probeSent(int target) {
    probed.set(target);
    outstandingProbes.set(target);
  }

  /** Notes the end of a probe; wakes the request when it waited for it. */
  void probeEnded(int target) {
    if (outstandingProbes.get(target)) {
      outstandingProbes.clear(target);
      schedulePlacement.run();
    }
  }
}
