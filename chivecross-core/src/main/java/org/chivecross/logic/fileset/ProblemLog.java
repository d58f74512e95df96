package org.chivecross.logic.fileset;

import java.util.ArrayList;
import java.util.List;
import org.chivecross.model.fileset.FileSetProblem;

/**
 * Collects the problems of a file set in the order in which they are found. Invariant: it only
 * grows, up to a bound. Not thread-safe.
 */
final class ProblemLog {

  /** Maximum number of problems kept; one more entry states that there are further problems. */
  static final int MAX_PROBLEMS = 1_000;

  private final List<FileSetProblem> problems = new ArrayList<>();
  private boolean unreadable;

  void add(String file, int line, String field, String found, String allowed) {
    if (problems.size() == MAX_PROBLEMS) {
      problems.add(
          new FileSetProblem(file, 0, "", "more problems", "none; mend those above first"));
    }
    if (problems.size() < MAX_PROBLEMS) {
      problems.add(new FileSetProblem(file, line, field, found, allowed));
    }
  }

  /** Adds a problem that prevents the rest of the file from being read. */
  void addUnreadable(String file, int line, String found, String allowed) {
    add(file, line, "", found, allowed);
    markUnreadable();
  }

  /** Records that some content could not be read. */
  void markUnreadable() {
    unreadable = true;
  }

  /** Returns whether some content could not be read. */
  boolean hasUnreadableContent() {
    return unreadable;
  }

  boolean isEmpty() {
    return problems.isEmpty();
  }

  List<FileSetProblem> problems() {
    return List.copyOf(problems);
  }
}
