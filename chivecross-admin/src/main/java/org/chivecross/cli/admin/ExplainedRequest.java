package org.chivecross.cli.admin;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Request that the where command explains. Immutable.
 *
 * @param entry {@code host:port} of the metrics address of the entry; "" if not given
 * @param host host of the request; "" if not given
 * @param path path of the request; "" if not given
 * @param bytes size of its body, in bytes
 * @param deadlineMillis time until its deadline, in ms; "" for the timeout of its route
 */
record ExplainedRequest(
    String entry, String host, String path, String bytes, String deadlineMillis) {

  /** Returns the first setting that is missing or invalid. */
  Optional<String> problem() {
    if (entry.isEmpty()) {
      return Optional.of("--entry: got none, allowed: HOST:PORT of the metrics address");
    }
    if (host.isBlank()) {
      return Optional.of("--host: got none, allowed: the host name of a request");
    }
    if (!path.startsWith("/")) {
      return Optional.of("--path: got \"" + path + "\", allowed: a path that starts with /");
    }
    return Optional.empty();
  }

  /** Returns the path and query at which the entry explains the request. */
  String target() {
    String target = "/explain?host=" + encode(host) + "&path=" + encode(path) + "&bytes=" + bytes;
    return deadlineMillis.isEmpty() ? target : target + "&deadline_ms=" + deadlineMillis;
  }

  private static String encode(String value) {
    return URLEncoder.encode(value, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
