package org.chivecross.model.peer;

import java.util.List;

/**
 * Answer of a key's owner, to be relayed to the caller. Immutable; the body must not be changed.
 *
 * @param status HTTP status
 * @param headers headers, {@code Chivecross-Outcome} included where it applies
 * @param body whole body, at most {@link KeyCall#MAX_BODY_BYTES}
 */
public record KeyAnswer(int status, List<HeaderField> headers, byte[] body) {
  public KeyAnswer {
    headers = List.copyOf(headers);
  }
}
