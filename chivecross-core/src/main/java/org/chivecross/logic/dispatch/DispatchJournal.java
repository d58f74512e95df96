package org.chivecross.logic.dispatch;

/** Records decisions about requests for diagnostics. Implementations must not block. */
@FunctionalInterface
public interface DispatchJournal {

  /** Journal that discards all events. */
  DispatchJournal NONE = (requestId, event) -> {};

  /**
   * Records a decision.
   *
   * @param requestId id that the caller gave the request; empty when it gave none
   */
  void record(String requestId, DispatchEvent event);
}
