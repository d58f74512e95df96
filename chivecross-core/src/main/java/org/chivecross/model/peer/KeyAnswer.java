package org.chivecross.model.peer;

import java.util.List;

/**
 * Answer of the entry that owns an idempotency key, to be relayed to the caller. Immutable; the
 * body must not be changed.
 *
 * @param status HTTP status
 * @param headers headers, {@code Chivecross-Outcome} included where it applies
 * @param body complete body, at most {@link KeyCall#MAX_BODY_BYTES}
 */
public record KeyAnswer(int status, List<HeaderField> headers, byte[] body) {
  public KeyAnswer {
    headers = List.copyOf(headers);
  }
}
