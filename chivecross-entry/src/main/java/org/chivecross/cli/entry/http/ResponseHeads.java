package org.chivecross.cli.entry.http;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.request.ResponseHead;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.jspecify.annotations.Nullable;

/** Translates response heads between upstreams, decisions and callers. Stateless. */
final class ResponseHeads {

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int LAST_STATUS = 599;
  private static final String LOAD = "chivecross-load";

  /** {@code in-service=N, queued=N, slots=N}; separators may vary. */
  private static final Pattern LOAD_VALUE =
      Pattern.compile("in-service=(\\d{1,9})[,;]\\s*queued=(\\d{1,9})[,;]\\s*slots=(\\d{1,9})");

  private ResponseHeads() {}

  /** Returns what the decisions need. */
  static ResponseHead toDecisionHead(HttpResponsePacket response) {
    MimeHeaders headers = response.getHeaders();
    return new ResponseHead(
        response.getStatus(),
        "1".equals(headers.getHeader("chivecross-not-run")),
        "1".equals(headers.getHeader("chivecross-leaving")),
        parseLoad(headers.getHeader(LOAD)));
  }

  /**
   * Returns whether the end of the response is certain from its head: exactly one of a length and
   * chunked coding, or a response that never has a body.
   */
  static boolean isFramingSound(HttpResponsePacket response, boolean headRequest) {
    int status = response.getStatus();
    if (status < FIRST_FINAL_STATUS || status > LAST_STATUS) {
      return false;
    }
    MimeHeaders headers = response.getHeaders();
    int lengths = count(headers, "content-length");
    int codings = count(headers, "transfer-encoding");
    if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1)) {
      return false;
    }
    if (codings == 1 && !"chunked".equalsIgnoreCase(headers.getHeader("transfer-encoding"))) {
      return false;
    }
    boolean bodyless = headRequest || status == NO_CONTENT || status == NOT_MODIFIED;
    return bodyless || lengths == 1 || codings == 1;
  }

  /** Copies what a caller may see; framing headers are set anew. */
  static void copyEndToEnd(HttpResponsePacket from, HttpResponsePacket to) {
    MimeHeaders source = from.getHeaders();
    MimeHeaders headers = to.getHeaders();
    Set<String> hop = HopHeaders.of(source);
    for (int i = 0; i < source.size(); i++) {
      String name = HeaderText.of(source.getName(i)).toLowerCase(Locale.ROOT);
      if (!hop.contains(name) && !name.equals(LOAD)) {
        headers.addValue(name).setString(HeaderText.of(source.getValue(i)));
      }
    }
  }

  private static Optional<LoadReport> parseLoad(@Nullable String text) {
    if (text == null) {
      return Optional.empty();
    }
    Matcher matcher = LOAD_VALUE.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(
        new LoadReport(
            Integer.parseInt(matcher.group(1)),
            Integer.parseInt(matcher.group(2)),
            Integer.parseInt(matcher.group(3))));
  }

  private static int count(MimeHeaders headers, String name) {
    int n = 0;
    for (int i = headers.indexOf(name, 0); i >= 0; i = headers.indexOf(name, i + 1)) {
      n++;
    }
    return n;
  }
}
