package org.chivecross.model.peer;

import java.util.List;

/**
 * A call about an idempotency key to the entry that owns it. Immutable; the body must not be
 * changed.
 *
 * @param operation requested operation
 * @param key complete key, including its prefix
 * @param method HTTP method of the request; empty unless the operation is {@code RUN}
 * @param target path and query of the request; empty unless the operation is {@code RUN}
 * @param headers headers of the request, {@code Host} included
 * @param body complete body, at most {@link #MAX_BODY_BYTES}
 */
public record KeyCall(
    KeyOperation operation,
    String key,
    String method,
    String target,
    List<HeaderField> headers,
    byte[] body) {

  /** Maximum size of a forwarded body, in bytes. */
  public static final int MAX_BODY_BYTES = 1 << 20;

  public KeyCall {
    headers = List.copyOf(headers);
  }
}
