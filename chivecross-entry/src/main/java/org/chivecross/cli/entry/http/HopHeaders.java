package org.chivecross.cli.entry.http;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.glassfish.grizzly.http.util.MimeHeaders;

/** The hop-by-hop headers, which belong to one connection and are not forwarded. Immutable. */
final class HopHeaders {

  /** Prefix of this project's headers between callers, entries and upstreams. */
  static final String OWN_PREFIX = "chivecross-";

  /** Lower-case names that are never forwarded. */
  static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "http2-settings",
          "expect",
          "content-length");

  private HopHeaders() {}

  /** Returns the lower-case names that must not be forwarded with these headers. */
  static Set<String> of(MimeHeaders headers) {
    String connection = headers.getHeader("connection");
    if (connection == null) {
      return HOP_BY_HOP;
    }
    Set<String> names = new HashSet<>(HOP_BY_HOP);
    for (String value : headers.values("connection")) {
      Arrays.stream(value.split(",", -1))
          .map(name -> name.strip().toLowerCase(Locale.ROOT))
          .forEach(names::add);
    }
    return names;
  }
}
