package org.chivecross.model.fleet;

/**
 * Whether a request may be sent to targets, judged from the targets that ended under it. Immutable.
 *
 * @param endedTargets runs of targets that ended while they ran it, since it last completed
 * @param blockedMillis time for which it must not be sent, in ms; 0 if it may be sent now
 */
public record RequestStanding(int endedTargets, long blockedMillis) {

  /** Standing of a request under which no target ended. */
  public static final RequestStanding GOOD = new RequestStanding(0, 0);

  /** Returns whether the request must not be sent now. */
  public boolean isBlocked() {
    return blockedMillis > 0;
  }
}
