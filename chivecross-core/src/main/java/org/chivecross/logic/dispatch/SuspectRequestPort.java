package org.chivecross.logic.dispatch;

import org.chivecross.model.fleet.RequestStanding;
import org.chivecross.model.registry.RegisteredTarget;

/**
 * What entries know together of requests under which targets end. Implementations must not block.
 */
public interface SuspectRequestPort {

  /** Port of an entry that knows of no such request. */
  SuspectRequestPort NONE =
      new SuspectRequestPort() {
        @Override
        public RequestStanding standing(long fingerprint, long nowNanos) {
          return RequestStanding.GOOD;
        }

        @Override
        public void targetEnded(long fingerprint, RegisteredTarget target, long nowNanos) {}

        @Override
        public void completed(long fingerprint, long nowNanos) {}

        @Override
        public void tried(long fingerprint, long nowNanos) {}
      };

  /** Returns whether a request may be sent to targets now. */
  RequestStanding standing(long fingerprint, long nowNanos);

  /** Handles the end of a target while it ran a request. */
  void targetEnded(long fingerprint, RegisteredTarget target, long nowNanos);

  /** Handles the response of a target to a request that it ran. */
  void completed(long fingerprint, long nowNanos);

  /** Handles that a request under which targets ended is sent to a target once more. */
  void tried(long fingerprint, long nowNanos);
}
