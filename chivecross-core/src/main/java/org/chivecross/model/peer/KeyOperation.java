package org.chivecross.model.peer;

/** What is asked of the owner of an idempotency key. */
public enum KeyOperation {
  /** Run the request, or answer with what became of its first run. */
  RUN,
  /** Tell what became of the key. */
  QUERY,
  /** Fence the key, so that a late copy can't run. */
  CANCEL
}
