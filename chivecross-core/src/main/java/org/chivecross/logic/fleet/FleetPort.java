package org.chivecross.logic.fleet;

import java.util.OptionalLong;
import org.chivecross.model.fleet.FleetMessage;

/** What a {@link FleetNode} has done outside of itself. Calls return at once. */
public interface FleetPort {

  /** Sends a message that may be lost. */
  void send(String ip, FleetMessage message);

  /**
   * Starts to read the store; the end is reported to {@link FleetNode#readEnded} or {@link
   * FleetNode#readFailed}.
   *
   * @param after revision after which changes are wanted; empty for a whole read
   */
  void read(OptionalLong after);

  /** The rules or the registered targets have changed. */
  void viewChanged(boolean rules);
}
