package org.chivecross.logic.dispatch;

import java.util.Optional;
import java.util.OptionalDouble;
import org.chivecross.model.fleet.LimitShare;
import org.chivecross.model.registry.RegisteredTarget;

/** What the request limits of targets need from other entries. Implementations must not block. */
public interface RequestLimitPort {

  /** Port of an entry whose targets have no limits. */
  RequestLimitPort NONE =
      new RequestLimitPort() {
        @Override
        public Optional<LimitShare> shareOf(RegisteredTarget target, long nowNanos) {
          return Optional.empty();
        }

        @Override
        public void responded(
            RegisteredTarget target, OptionalDouble requestsPerSecond, long nowNanos) {}
      };

  /** Returns this entry's share of the request limit of a target; empty if it has no limit. */
  Optional<LimitShare> shareOf(RegisteredTarget target, long nowNanos);

  /**
   * Handles what a response said about the request limit of its target.
   *
   * @param requestsPerSecond the limit for all entries together; empty if it named none
   */
  void responded(RegisteredTarget target, OptionalDouble requestsPerSecond, long nowNanos);
}
