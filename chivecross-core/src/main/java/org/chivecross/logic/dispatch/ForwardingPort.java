package org.chivecross.logic.dispatch;

import java.util.Collection;
import java.util.List;

/** Connects the forwarding of requests with the other entries. Called under the entry's lock. */
public interface ForwardingPort {

  /** Port of an entry without other entries. */
  ForwardingPort NONE =
      new ForwardingPort() {
        @Override
        public Collection<String> entries(long nowNanos) {
          return List.of();
        }

        @Override
        public void isolationChanged(RequestForwarding forwarding, long nowNanos) {}
      };

  /** Returns the IP addresses of the entries that reach targets and accept forwarded requests. */
  Collection<String> entries(long nowNanos);

  /**
   * Called when this entry stops or starts again to reach targets. While it is isolated, {@link
   * RequestForwarding#tick} must be called.
   */
  void isolationChanged(RequestForwarding forwarding, long nowNanos);
}
