package org.chivecross.logic.fileset;

import java.util.Collection;
import java.util.stream.Collectors;

/** Sanitises and shortens untrusted text for one line of a message. Stateless. */
final class Quoting {

  private static final int MAX_LENGTH = 60;

  private static final int MAX_ITEMS = 12;

  private Quoting() {}

  /** Returns at most {@value #MAX_ITEMS} items, joined by commas, and the number of the others. */
  static String list(Collection<String> items) {
    String joined = items.stream().limit(MAX_ITEMS).collect(Collectors.joining(", "));
    int more = items.size() - MAX_ITEMS;
    return more > 0 ? joined + " and " + more + " more" : joined;
  }

  /**
   * Returns the text with control characters and surrogates replaced by {@code ?}, cut at {@value
   * #MAX_LENGTH} characters.
   */
  static String shorten(String text) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < text.length() && i < MAX_LENGTH; i++) {
      char c = text.charAt(i);
      line.append(Character.isISOControl(c) || Character.isSurrogate(c) ? '?' : c);
    }
    return text.length() > MAX_LENGTH ? line.append("...").toString() : line.toString();
  }
}
