package org.chivecross.wire;

import org.chivecross.model.failure.Failure;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/** Logs failures as warnings with the fields step and peer. Stateless. */
final class PeerLog {

  private PeerLog() {}

  static void warn(Failure failure) {
    ThreadContext.put("step", failure.step().toString());
    ThreadContext.put("peer", failure.peer());
    Logger.warn("{}", failure.detail());
    ThreadContext.remove("step");
    ThreadContext.remove("peer");
  }
}
