package org.chivecross.model.history;

/**
 * A rule that a history breaks. Immutable.
 *
 * @param rule name of the rule
 * @param subject request, key, upstream, node or entry concerned
 * @param detail what was seen
 */
public record Violation(String rule, String subject, String detail) {
  @Override
  public String toString() {
    return rule + ": " + subject + ": " + detail;
  }
}
