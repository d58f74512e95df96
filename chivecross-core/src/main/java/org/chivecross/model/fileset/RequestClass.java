package org.chivecross.model.fileset;

/** Class of a request; determines retries, hedging and the order of load shedding. */
public enum RequestClass {
  /** Idempotent; may be retried or hedged until the first byte of an answer was relayed. */
  READ,
  /** Non-idempotent; at most one attempt that an upstream may have seen. */
  WRITE,
  /** Streamed body; never retried after its first body byte was sent. */
  UPLOAD
}
