package org.chivecross.cli.entry.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.request.Outcome;
import org.glassfish.grizzly.http.util.HttpStatus;

/** Builds the responses that the entry generates itself: RFC 9457 problem details. Stateless. */
public final class ProblemAnswers {

  private static final long MILLIS_PER_SECOND = 1000;

  private ProblemAnswers() {}

  /**
   * Builds a response.
   *
   * @param status HTTP status
   * @param outcome what became of the request
   * @param failure step and peer of the cause
   * @param retryAfterMillis time after which the caller may retry, in ms
   */
  public static LocalResponse of(
      int status, Outcome outcome, Failure failure, OptionalLong retryAfterMillis) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Chivecross-Outcome", outcome.headerValue());
    StringBuilder body = new StringBuilder("{\"type\":\"about:blank\",\"title\":\"");
    body.append(escape(HttpStatus.getHttpStatus(status).getReasonPhrase()));
    body.append("\",\"status\":").append(status);
    body.append(",\"detail\":\"").append(escape(failure.detail()));
    body.append("\",\"step\":\"").append(failure.step());
    body.append("\",\"peer\":\"").append(escape(failure.peer()));
    body.append("\",\"outcome\":\"").append(outcome.headerValue()).append('"');
    if (retryAfterMillis.isPresent()) {
      long millis = retryAfterMillis.getAsLong();
      long seconds = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      headers.put("Retry-After", Long.toString(Math.max(1, seconds)));
      headers.put("Chivecross-Retry-After-Ms", Long.toString(millis));
      body.append(",\"retryAfterMs\":").append(millis);
    }
    body.append("}\n");
    return LocalResponse.text(status, headers, "application/problem+json", body.toString());
  }

  private static String escape(String text) {
    StringBuilder escaped = new StringBuilder(text.length());
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '"' || c == '\\') {
        escaped.append('\\').append(c);
      } else if (c < ' ') {
        escaped.append(String.format("\\u%04x", (int) c));
      } else {
        escaped.append(c);
      }
    }
    return escaped.toString();
  }
}
