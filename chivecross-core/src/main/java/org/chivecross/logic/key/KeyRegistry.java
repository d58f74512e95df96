package org.chivecross.logic.key;

import org.chivecross.model.request.Outcome;

/**
 * What became of idempotency keys that this incarnation owns. Implementations are safe for use by
 * many threads.
 */
public interface KeyRegistry {

  /** Claims a key for a request that is about to run. */
  KeyClaim claim(String key, long nowNanos);

  /** Records the end of a request that claimed {@link KeyClaim.Run}. */
  void finish(String key, int status, Outcome outcome, long nowNanos);

  /** Looks a key up without claiming it. */
  KeyClaim query(String key, long nowNanos);

  /** Fences a key that never ran, so that a late copy can't run. */
  KeyClaim cancel(String key, long nowNanos);
}
