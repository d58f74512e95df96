package org.chivecross.logic.key;

import org.chivecross.model.request.Outcome;

/** Result of looking up or claiming an idempotency key. Immutable. */
public sealed interface KeyClaim {

  /** This entry owns the key, and no request with it has run: the request may run now. */
  record Run() implements KeyClaim {}

  /** A request with the same key is in flight: wait for its end or answer {@code unknown}. */
  record InFlight() implements KeyClaim {}

  /**
   * A request with the same key has ended.
   *
   * @param status HTTP status of the first answer; 0 if no upstream answered
   * @param outcome outcome of that request
   */
  record Finished(int status, Outcome outcome) implements KeyClaim {}

  /** The key was cancelled before a request with it ran; none will run. */
  record Fenced() implements KeyClaim {}

  /** The window of the key has ended, and with it the record of whether a request ran. */
  record OutsideWindow() implements KeyClaim {}

  /**
   * Another entry owns the key.
   *
   * @param ownerIncarnation incarnation of the owner
   */
  record Foreign(long ownerIncarnation) implements KeyClaim {}

  /** The key table is full, so the request is refused before it runs. */
  record TableFull() implements KeyClaim {}

  /** The key has the wrong format, or a prefix that this entry can't have issued. */
  record Malformed() implements KeyClaim {}
}
