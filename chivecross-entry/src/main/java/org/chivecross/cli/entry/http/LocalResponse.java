package org.chivecross.cli.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Answer of a {@link LocalHandler}. Immutable.
 *
 * @param status HTTP status
 * @param headers headers besides those of the body and the connection
 * @param contentType media type of the body
 * @param body text of the body
 */
public record LocalResponse(
    int status, Map<String, String> headers, String contentType, String body) {
  public LocalResponse {
    headers = Map.copyOf(headers);
  }

  /** Returns a 200 answer with a JSON body that must not be cached. */
  public static LocalResponse json(String body) {
    return new LocalResponse(200, Map.of("Cache-Control", "no-store"), "application/json", body);
  }

  /** Returns the body as it is sent. */
  byte[] bodyBytes() {
    return body.getBytes(StandardCharsets.UTF_8);
  }
}
