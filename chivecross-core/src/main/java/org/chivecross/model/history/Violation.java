package org.chivecross.model.history;

/**
 * Violation of a rule by a history. Immutable.
 *
 * @param rule name of the rule
 * @param subject request, key, upstream, node or entry concerned
 * @param detail what was observed
 */
public record Violation(String rule, String subject, String detail) {
  @Override
  public String toString() {
    return rule + ": " + subject + ": " + detail;
  }
}
