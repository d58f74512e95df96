package org.chivecross.cli.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A response that the entry generates itself. Immutable; the body must not be changed.
 *
 * @param status HTTP status
 * @param headers headers besides those of the body and the connection
 * @param contentType media type of the body
 * @param body body in the bytes that are sent
 */
public record LocalResponse(
    int status, Map<String, String> headers, String contentType, byte[] body) {
  public LocalResponse {
    headers = Map.copyOf(headers);
  }

  /** Returns a response with a text body in UTF-8. */
  public static LocalResponse text(
      int status, Map<String, String> headers, String contentType, String body) {
    return new LocalResponse(status, headers, contentType, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a response with status 200 and a JSON body that must not be cached. */
  public static LocalResponse json(String body) {
    return text(200, Map.of("Cache-Control", "no-store"), "application/json", body);
  }
}
