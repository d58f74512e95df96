package org.chivecross.logic.fleet;

import java.util.Collection;
import java.util.OptionalLong;
import org.chivecross.model.fleet.FleetMessage;

/** Side effects of a {@link FleetNode}: messages, store reads, notifications. Never blocks. */
public interface FleetPort {

  /** Sends a message to some entries, without any guarantee of delivery. */
  void send(Collection<String> ips, FleetMessage message);

  /**
   * Starts a read of the store; the result is reported to {@link FleetNode#readSucceeded} or {@link
   * FleetNode#readFailed}.
   *
   * @param after revision after which changes are requested; empty for a snapshot
   */
  void read(OptionalLong after);

  /** Called after the registered targets or, if {@code rulesChanged}, the rules have changed. */
  void viewChanged(boolean rulesChanged);
}
