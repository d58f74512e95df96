package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.peer.HeaderField;
import org.chivecross.model.peer.KeyAnswer;

/**
 * Checks heads of responses of which only the parsed parts are at hand, by the grammar of {@link
 * ResponseHeadGuard}. Stateless.
 */
public final class ParsedResponseHeads {

  private static final Set<String> FRAMING_FIELDS = Set.of("content-length", "transfer-encoding");
  private static final int MIN_FINAL_STATUS = 200;
  private static final HeadGuard GUARD = new ResponseHeadGuard();

  private ParsedResponseHeads() {}

  /**
   * Checks a head that a library has parsed, for clients whose library accepts malformed ones.
   *
   * @param statusLine first line, without CR and LF
   * @param fields all fields in their order; a line without a colon has an empty name
   * @return why the head is not that of a valid response; empty if it is
   */
  public static Optional<String> faultOf(String statusLine, List<HeaderField> fields) {
    StringBuilder text = new StringBuilder(statusLine).append("\r\n");
    Set<String> framing = new HashSet<>();
    for (HeaderField field : fields) {
      String name = field.name().toLowerCase(Locale.ROOT);
      if (FRAMING_FIELDS.contains(name) && !framing.add(name)) {
        return Optional.of(name + " is repeated");
      }
      String line = field.name() + ":" + field.value();
      if (line.indexOf('\r') >= 0 || line.indexOf('\n') >= 0) {
        return Optional.of("line break within a field");
      }
      text.append(line).append("\r\n");
    }
    byte[] head = text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    try {
      return GUARD.check(head, 0, head.length)
          ? Optional.empty()
          : Optional.of("head is not complete");
    } catch (HeadRefusal refusal) {
      return Optional.of(String.valueOf(refusal.getMessage()));
    }
  }

  /**
   * Returns the status of a response.
   *
   * @throws IOException if there is no response, or its head is not that of a valid one
   */
  public static int statusOf(HttpURLConnection connection) throws IOException {
    int status = connection.getResponseCode();
    List<HeaderField> fields = new ArrayList<>();
    for (int i = 1; connection.getHeaderField(i) != null; i++) {
      String name = connection.getHeaderFieldKey(i);
      fields.add(new HeaderField(name == null ? "" : name, connection.getHeaderField(i)));
    }
    Optional<String> fault = faultOf(String.valueOf(connection.getHeaderField(0)), fields);
    if (fault.isPresent()) {
      throw new IOException("malformed response: " + fault.get());
    }
    return status;
  }

  /**
   * As {@link #faultOf(String, List)}, for the client of the JDK. What it repairs before its result
   * can be seen is not found, such as lines without a name and digits behind those of the status.
   */
  public static Optional<String> faultOf(HttpResponse<?> response) {
    List<HeaderField> fields = new ArrayList<>();
    response
        .headers()
        .map()
        .forEach((name, values) -> values.forEach(v -> fields.add(new HeaderField(name, v))));
    return faultOf("HTTP/1.1 " + response.statusCode(), fields);
  }

  /**
   * Checks the answer of the entry that owns a key.
   *
   * @return the answer, or a failure if it can't be passed on as a final response
   */
  public static Result<KeyAnswer> checkOwnerAnswer(Result<KeyAnswer> result) {
    return result.flatMap(
        answer -> {
          Optional<String> fault = faultOf("HTTP/1.1 " + answer.status(), answer.headers());
          boolean isFinal = answer.status() >= MIN_FINAL_STATUS;
          return fault.isEmpty() && isFinal
              ? result
              : Result.failed(
                  Step.KEY_LOOKUP, "owner", "malformed answer: " + fault.orElse("interim status"));
        });
  }
}
