package org.chivecross.logic.fileset;

/**
 * A check that looks at more than one field. Implementations are stateless; they add every problem
 * that they find.
 */
@FunctionalInterface
interface CrossFileCheck {

  /** Adds what is wrong with {@code set} to {@code problems}. */
  void check(ParsedFileSet set, ProblemLog problems);
}
