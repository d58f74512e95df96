package org.chivecross.cli.entry.http;

import java.util.Locale;
import java.util.Set;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.MimeHeaders;

/** Translates response heads between upstreams, decisions and callers. Stateless. */
final class ResponseHeads {

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;

  private ResponseHeads() {}

  /**
   * Returns whether the head determines the end of the response unambiguously: exactly one of a
   * length and chunked coding, or a response that never has a body.
   *
   * @param untilClose whether a body may also end with its connection
   */
  static boolean isFramingSound(
      HttpResponsePacket response, boolean headRequest, boolean untilClose) {
    int status = response.getStatus();
    if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
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
    return bodyless || lengths == 1 || codings == 1 || untilClose;
  }

  /** Copies the headers for the caller; framing headers are set separately. */
  static void copyEndToEnd(HttpResponsePacket from, HttpResponsePacket to, RequestDialect dialect) {
    MimeHeaders source = from.getHeaders();
    MimeHeaders headers = to.getHeaders();
    Set<String> hop = HopHeaders.of(source);
    for (int i = 0; i < source.size(); i++) {
      String name = HeaderText.of(source.getName(i)).toLowerCase(Locale.ROOT);
      if (!hop.contains(name) && !dialect.isInternal(name)) {
        headers.addValue(name).setString(HeaderText.of(source.getValue(i)));
      }
    }
  }

  private static int count(MimeHeaders headers, String name) {
    int n = 0;
    for (int i = headers.indexOf(name, 0); i >= 0; i = headers.indexOf(name, i + 1)) {
      n++;
    }
    return n;
  }
}
