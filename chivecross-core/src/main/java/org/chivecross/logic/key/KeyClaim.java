package org.chivecross.logic.key;

import org.chivecross.model.request.Outcome;

/** Answer to a request that carries an idempotency key. Immutable. */
public sealed interface KeyClaim {

  /** This entry owns the key and it never ran: run it now. */
  record Run() implements KeyClaim {}

  /** A request with the same key is in flight: wait for it or answer {@code unknown}. */
  record InFlight() implements KeyClaim {}

  /**
   * A request with the same key is over.
   *
   * @param status HTTP status of the first answer; 0 when no upstream answered
   * @param outcome what became of it
   */
  record Finished(int status, Outcome outcome) implements KeyClaim {}

  /** The key was cancelled before it ran and never will. */
  record Fenced() implements KeyClaim {}

  /** The window of the key has passed, so this entry no longer knows whether it ran. */
  record OutsideWindow() implements KeyClaim {}

  /**
   * Another entry owns the key.
   *
   * @param ownerIncarnation incarnation of the owner
   */
  record Foreign(long ownerIncarnation) implements KeyClaim {}

  /** No record can be kept, so the request is refused before it runs. */
  record TableFull() implements KeyClaim {}

  /** The key does not have the form of a prefix and a unique part. */
  record Malformed() implements KeyClaim {}
}
