package org.chivecross.cli.entry.http;

import java.nio.charset.StandardCharsets;

/**
 * The grammar that the heads and trailers of requests and responses share (RFC 9112, sections 2.2
 * and 5).
 *
 * <p>Where the standard lets a recipient repair a line (LF alone, folded lines, control characters
 * in values), the line is refused: two readers that repair it differently disagree on the fields or
 * on the end of the message. Stateless.
 */
final class HeadGrammar {

  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
  private static final int ASCII_LIMIT = 128;
  private static final int MAX_PRINTED_BYTES = 40;
  private static final boolean[] IS_TOKEN = new boolean[ASCII_LIMIT];

  static {
    for (int c = 0; c < ASCII_LIMIT; c++) {
      IS_TOKEN[c] = Character.isLetterOrDigit(c) || TOKEN_SYMBOLS.indexOf(c) >= 0;
    }
  }

  private HeadGrammar() {}

  /**
   * Returns the index of the CR that ends a line, or -1 when the line is not complete.
   *
   * @throws HeadRefusal if the line contains a control character or ends in another way
   */
  static int endOfLine(byte[] bytes, int from, int to) {
    for (int i = from; i < to; i++) {
      byte b = bytes[i];
      if (b == '\n') {
        throw HeadRefusal.malformed("line ends with LF alone");
      }
      if (b == '\r') {
        if (i + 1 == to) {
          return -1;
        }
        if (bytes[i + 1] != '\n') {
          throw HeadRefusal.malformed("CR without LF");
        }
        return i;
      }
      if (isControl(b)) {
        throw HeadRefusal.malformed("control character in head");
      }
    }
    return -1;
  }

  /**
   * Returns the index of the CR that ends the line of a field, or -1 when the line is not complete.
   * A line that begins with a blank is refused at once: the library joins it to the line before it
   * within the same array, so that later checks would find one valid line.
   *
   * @throws HeadRefusal as {@link #endOfLine}, or if the line continues the one before it
   */
  static int endOfField(byte[] bytes, int from, int to) {
    if (from < to && (bytes[from] == ' ' || bytes[from] == '\t')) {
      throw HeadRefusal.malformed("folded header line");
    }
    return endOfLine(bytes, from, to);
  }

  /**
   * Checks the complete line of a field.
   *
   * @param from index of the first byte
   * @param to index after the last byte, without CR and LF
   * @return index of the colon behind the name
   * @throws HeadRefusal if the line has no valid name
   */
  static int checkField(byte[] bytes, int from, int to) {
    int colon = indexOf(bytes, from, to, ':');
    if (colon < 0) {
      throw HeadRefusal.malformed("header line has no colon");
    }
    if (!isToken(bytes, from, colon)) {
      throw HeadRefusal.malformed("header name is not a token: " + printable(bytes, from, colon));
    }
    return colon;
  }

  /**
   * Checks the lines of fields that are complete so far.
   *
   * @return whether the empty line that ends the fields was found
   * @throws HeadRefusal if a line is no valid field
   */
  static boolean checkFields(byte[] bytes, int from, int to) {
    int start = from;
    while (true) {
      int lineEnd = endOfField(bytes, start, to);
      if (lineEnd < 0) {
        return false;
      }
      if (lineEnd == start) {
        return true;
      }
      checkField(bytes, start, lineEnd);
      start = lineEnd + 2;
    }
  }

  static boolean isToken(byte[] bytes, int from, int to) {
    for (int i = from; i < to; i++) {
      if (bytes[i] < 0 || !IS_TOKEN[bytes[i]]) {
        return false;
      }
    }
    return to > from;
  }

  /** Returns the index of the first occurrence of a character, or -1. */
  static int indexOf(byte[] bytes, int from, int to, char c) {
    for (int i = from; i < to; i++) {
      if (bytes[i] == c) {
        return i;
      }
    }
    return -1;
  }

  static String text(byte[] bytes, int from, int to) {
    return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
  }

  /** Returns the start of a text, with bytes that can't be printed as percent and two digits. */
  private static String printable(byte[] bytes, int from, int to) {
    StringBuilder text = new StringBuilder();
    for (int i = from; i < Math.min(to, from + MAX_PRINTED_BYTES); i++) {
      if (bytes[i] > ' ' && !isControl(bytes[i])) {
        text.append((char) bytes[i]);
      } else {
        text.append(String.format("%%%02x", bytes[i]));
      }
    }
    return text.toString();
  }

  /** Returns whether a byte, signed or not, is a control character other than a tab. */
  private static boolean isControl(int b) {
    return (b >= 0 && b < ' ' && b != '\t') || b == 0x7f;
  }
}
