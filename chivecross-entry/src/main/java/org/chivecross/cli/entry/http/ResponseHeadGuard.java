package org.chivecross.cli.entry.http;

/**
 * Checks the bytes of a response head before the HTTP library parses them.
 *
 * <p>The library takes everything up to the colon for the name of a field and everything up to a
 * blank for the status. A field whose name is nearly that of a length or coding is then relayed as
 * another field, and the body ends where its target did not end it. Immutable and safe for use by
 * many threads.
 */
final class ResponseHeadGuard implements HeadGuard {

  private static final String VERSION = "HTTP/1.";
  private static final int STATUS_START = "HTTP/1.x ".length();
  private static final int STATUS_END = STATUS_START + 3;

  @Override
  public boolean check(byte[] bytes, int from, int to) {
    checkVersion(bytes, from, to);
    int lineEnd = HeadGrammar.endOfLine(bytes, from, to);
    if (lineEnd < 0) {
      return false;
    }
    if (!isStatusValid(bytes, from, lineEnd)) {
      throw HeadRefusal.malformed("status is not a number from 100 to 599");
    }
    return HeadGrammar.checkFields(bytes, lineEnd + 2, to);
  }

  /** Refuses bytes that begin no response without waiting for the end of their line. */
  private static void checkVersion(byte[] bytes, int from, int to) {
    int length = Math.min(to - from, STATUS_START);
    for (int i = 0; i < length; i++) {
      byte b = bytes[from + i];
      boolean valid =
          switch (i) {
            case 7 -> b == '0' || b == '1';
            case 8 -> b == ' ';
            default -> b == VERSION.charAt(i);
          };
      if (!valid) {
        throw HeadRefusal.malformed("response does not begin with HTTP/1.0 or HTTP/1.1");
      }
    }
  }

  /** Returns whether the line has three digits for its status, alone or before a blank. */
  private static boolean isStatusValid(byte[] bytes, int from, int lineEnd) {
    int start = from + STATUS_START;
    int end = from + STATUS_END;
    if (lineEnd < end || (lineEnd > end && bytes[end] != ' ')) {
      return false;
    }
    return bytes[start] >= '1'
        && bytes[start] <= '5'
        && isDigit(bytes[start + 1])
        && isDigit(bytes[start + 2]);
  }

  private static boolean isDigit(byte b) {
    return b >= '0' && b <= '9';
  }
}
