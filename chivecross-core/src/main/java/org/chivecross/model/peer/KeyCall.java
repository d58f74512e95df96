package org.chivecross.model.peer;

import java.util.List;

/**
 * A call about an idempotency key to the entry that owns it. Immutable; the body must not be
 * changed.
 *
 * @param operation what is asked
 * @param key whole key with its prefix
 * @param method HTTP method of the request; empty unless it is to be run
 * @param target path and query of the request; empty unless it is to be run
 * @param headers headers of the request, {@code Host} included
 * @param body whole body, at most {@link #MAX_BODY_BYTES}
 */
public record KeyCall(
    KeyOperation operation,
    String key,
    String method,
    String target,
    List<HeaderField> headers,
    byte[] body) {

  /** Most bytes of a body that can be passed. */
  public static final int MAX_BODY_BYTES = 1 << 20;

  public KeyCall {
    headers = List.copyOf(headers);
  }
}
