package org.chivecross.cli.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Answer that the entry gives without a target. Immutable; the body must not be changed.
 *
 * @param status HTTP status
 * @param headers headers besides those of the body and the connection
 * @param contentType media type of the body
 * @param body body as it is sent
 */
public record LocalResponse(
    int status, Map<String, String> headers, String contentType, byte[] body) {
  public LocalResponse {
    headers = Map.copyOf(headers);
  }

  /** Returns an answer with a body of text. */
  public static LocalResponse text(
      int status, Map<String, String> headers, String contentType, String body) {
    return new LocalResponse(status, headers, contentType, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a 200 answer with a JSON body that must not be cached. */
  public static LocalResponse json(String body) {
    return text(200, Map.of("Cache-Control", "no-store"), "application/json", body);
  }
}
