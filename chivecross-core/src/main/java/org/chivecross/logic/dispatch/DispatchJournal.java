package org.chivecross.logic.dispatch;

/** Keeps decisions about requests for later. Implementations return at once. */
@FunctionalInterface
public interface DispatchJournal {

  /** Journal that keeps nothing. */
  DispatchJournal NONE = (requestId, event) -> {};

  /**
   * Keeps a decision.
   *
   * @param requestId name that the caller gave the request; empty when it gave none
   */
  void record(String requestId, DispatchEvent event);
}
