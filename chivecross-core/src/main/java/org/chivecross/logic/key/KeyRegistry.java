package org.chivecross.logic.key;

import org.chivecross.model.request.Outcome;

/**
 * Registry of the idempotency keys that this incarnation owns, with the state of their requests.
 * Implementations are thread-safe.
 */
public interface KeyRegistry {

  /** Claims a key for a request that is about to run. */
  KeyClaim claim(String key, long nowNanos);

  /** Records the end of a request whose claim returned {@link KeyClaim.Run}. */
  void finish(String key, int status, Outcome outcome, long nowNanos);

  /** Returns the state of a key without claiming it. */
  KeyClaim query(String key, long nowNanos);

  /** Fences a key without a request, so that a delayed copy of the request can't run. */
  KeyClaim cancel(String key, long nowNanos);
}
