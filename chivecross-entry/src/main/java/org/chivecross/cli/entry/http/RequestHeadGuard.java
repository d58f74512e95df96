package org.chivecross.cli.entry.http;

import java.util.Locale;

/**
 * Checks the bytes of a request head before the HTTP library parses them.
 *
 * <p>The library accepts more than RFC 9112 allows: folded lines, lines that end with LF alone, and
 * repeated lengths. Two readers of one connection that disagree on where a request ends allow
 * request smuggling, so every ambiguous head is refused. Immutable and safe for use by many
 * threads.
 */
final class RequestHeadGuard implements HeadGuard {

  private static final int BAD_REQUEST = 400;
  private static final int URI_TOO_LONG = 414;
  private static final int CONTENT_TOO_LARGE = 413;
  private static final int HEADERS_TOO_LARGE = 431;
  private static final int NOT_IMPLEMENTED = 501;
  private static final int VERSION_NOT_SUPPORTED = 505;
  private static final int MAX_NUMBER_DIGITS = 18;

  private final int maxHeadBytes;
  private final int maxHeaders;
  private final long maxBodyBytes;

  RequestHeadGuard(DataPathSettings settings) {
    maxHeadBytes = settings.maxHeadBytes();
    maxHeaders = settings.maxHeaders();
    maxBodyBytes = settings.maxBodyBytes();
  }

  @Override
  public boolean check(byte[] bytes, int from, int to) {
    int lineEnd = HeadGrammar.endOfLine(bytes, from, to);
    if (lineEnd < 0) {
      requireWithinHeadLimit(to - from, URI_TOO_LONG, "request line is too long");
      return false;
    }
    requireWithinHeadLimit(lineEnd - from, URI_TOO_LONG, "request line is too long");
    boolean isHttp10 = checkRequestLine(bytes, from, lineEnd);
    Framing framing = new Framing();
    int lines = 0;
    int start = lineEnd + 2;
    while (true) {
      lineEnd = HeadGrammar.endOfField(bytes, start, to);
      requireWithinHeadLimit(
          (lineEnd < 0 ? to : lineEnd) - from, HEADERS_TOO_LARGE, "head is too large");
      if (lineEnd < 0) {
        return false;
      }
      if (lineEnd == start) {
        framing.check(isHttp10);
        return true;
      }
      lines++;
      if (lines > maxHeaders) {
        throw new HeadRefusal(HEADERS_TOO_LARGE, "too many header lines");
      }
      checkHeaderLine(bytes, start, lineEnd, framing);
      start = lineEnd + 2;
    }
  }

  private void requireWithinHeadLimit(int length, int status, String detail) {
    if (length > maxHeadBytes) {
      throw new HeadRefusal(status, detail);
    }
  }

  /** Checks method, target and version; returns whether the version is HTTP/1.0. */
  private static boolean checkRequestLine(byte[] bytes, int from, int to) {
    int methodEnd = HeadGrammar.indexOf(bytes, from, to, ' ');
    int targetEnd = methodEnd < 0 ? -1 : HeadGrammar.indexOf(bytes, methodEnd + 1, to, ' ');
    if (targetEnd < 0 || HeadGrammar.indexOf(bytes, targetEnd + 1, to, ' ') >= 0) {
      throw HeadRefusal.malformed("request line needs method, target and version");
    }
    if (!HeadGrammar.isToken(bytes, from, methodEnd)) {
      throw HeadRefusal.malformed("method is not a token");
    }
    checkTarget(bytes, methodEnd + 1, targetEnd, HeadGrammar.text(bytes, from, methodEnd));
    String version = HeadGrammar.text(bytes, targetEnd + 1, to);
    if (version.equals("HTTP/1.1") || version.equals("HTTP/1.0")) {
      return version.equals("HTTP/1.0");
    }
    boolean isHttp = version.matches("HTTP/\\d\\.\\d");
    throw new HeadRefusal(isHttp ? VERSION_NOT_SUPPORTED : BAD_REQUEST, "version is not HTTP/1.1");
  }

  private static void checkTarget(byte[] bytes, int from, int to, String method) {
    for (int i = from; i < to; i++) {
      if (bytes[i] <= ' ' || bytes[i] == '#') {
        throw HeadRefusal.malformed("character not allowed in request target");
      }
    }
    if (method.equals("CONNECT")) {
      throw new HeadRefusal(NOT_IMPLEMENTED, "CONNECT is not served");
    }
    boolean origin = to > from && bytes[from] == '/';
    boolean asterisk = to - from == 1 && bytes[from] == '*' && method.equals("OPTIONS");
    String start = HeadGrammar.text(bytes, from, Math.min(to, from + "http://".length()));
    if (!origin && !asterisk && !start.toLowerCase(Locale.ROOT).equals("http://")) {
      throw HeadRefusal.malformed("request target must be a path or an http URI");
    }
  }

  private void checkHeaderLine(byte[] bytes, int from, int to, Framing framing) {
    int colon = HeadGrammar.checkField(bytes, from, to);
    // Only names as long as one of those that Framing checks are converted to strings: host,
    // idempotency-key, content-length, transfer-encoding and the two headers of this project.
    switch (colon - from) {
      case 4, 14, 15, 16, 17, 22 ->
          framing.take(
              HeadGrammar.text(bytes, from, colon).toLowerCase(Locale.ROOT),
              HeadGrammar.text(bytes, colon + 1, to).strip());
      default -> {}
    }
  }

  /** Headers that determine the end and the treatment of a request; none may be repeated. */
  private final class Framing {

    private boolean hasHost;
    private boolean hasContentLength;
    private boolean hasTransferCoding;
    private boolean hasIdempotencyKey;

    void take(String name, String value) {
      switch (name) {
        case "host" -> {
          hasHost = requireFirst(hasHost, name);
          checkHost(value);
        }
        case "content-length" -> {
          hasContentLength = requireFirst(hasContentLength, name);
          checkLength(value);
        }
        case "transfer-encoding" -> {
          hasTransferCoding = requireFirst(hasTransferCoding, name);
          if (!value.equalsIgnoreCase("chunked")) {
            throw new HeadRefusal(NOT_IMPLEMENTED, "transfer coding other than chunked");
          }
        }
        case "idempotency-key" -> hasIdempotencyKey = requireFirst(hasIdempotencyKey, name);
        case "chivecross-deadline-ms", "chivecross-depth" -> requireDigits(name, value);
        default -> {}
      }
    }

    void check(boolean isHttp10) {
      if (!hasHost && !isHttp10) {
        throw HeadRefusal.malformed("host is missing");
      }
      if (hasTransferCoding && (hasContentLength || isHttp10)) {
        throw HeadRefusal.malformed("transfer-encoding with content-length or HTTP/1.0");
      }
    }

    private boolean requireFirst(boolean seen, String name) {
      if (seen) {
        throw HeadRefusal.malformed(name + " is repeated");
      }
      return true;
    }

    private void checkHost(String value) {
      for (int i = 0; i < value.length(); i++) {
        char c = value.charAt(i);
        if (!Character.isLetterOrDigit(c) && "-._~:[]%".indexOf(c) < 0) {
          throw HeadRefusal.malformed("character not allowed in host");
        }
      }
    }

    private void checkLength(String value) {
      requireDigits("content-length", value);
      if (Long.parseLong(value) > maxBodyBytes) {
        throw new HeadRefusal(CONTENT_TOO_LARGE, "body is larger than " + maxBodyBytes + " bytes");
      }
    }

    private void requireDigits(String name, String value) {
      if (value.isEmpty()
          || value.length() > MAX_NUMBER_DIGITS
          || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
        throw HeadRefusal.malformed(name + " is not a number");
      }
    }
  }
}
