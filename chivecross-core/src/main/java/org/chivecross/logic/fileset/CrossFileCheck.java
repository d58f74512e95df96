package org.chivecross.logic.fileset;

/**
 * Check that compares several fields or files. Implementations are stateless and report every
 * problem that they find.
 */
@FunctionalInterface
interface CrossFileCheck {

  /** Adds each problem of {@code set} to {@code problems}. */
  void check(ParsedFileSet set, ProblemLog problems);
}
