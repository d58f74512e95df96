package org.chivecross.logic.dispatch;

import java.util.Optional;
import java.util.OptionalDouble;
import org.chivecross.model.fleet.LimitShare;
import org.chivecross.model.registry.RegisteredTarget;

/**
 * What the request limits and the warm-ups of targets need from other entries. Implementations must
 * not block.
 */
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

        @Override
        public void warmingUp(RegisteredTarget target, long remainingMillis, long nowNanos) {}
      };

  /**
   * Returns this entry's share of the requests that a target takes, since it named a limit or warms
   * up; empty if it takes any number.
   */
  Optional<LimitShare> shareOf(RegisteredTarget target, long nowNanos);

  /**
   * Handles what a response said about the request limit of its target.
   *
   * @param requestsPerSecond the limit for all entries together; empty if it named none
   */
  void responded(RegisteredTarget target, OptionalDouble requestsPerSecond, long nowNanos);

  /**
   * Handles a response that said that its target warms up.
   *
   * @param remainingMillis time until it is warm, in ms
   */
  void warmingUp(RegisteredTarget target, long remainingMillis, long nowNanos);
}
