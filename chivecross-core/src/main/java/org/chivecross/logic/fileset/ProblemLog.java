package org.chivecross.logic.fileset;

import java.util.ArrayList;
import java.util.List;
import org.chivecross.model.fileset.FileSetProblem;

/**
 * Collects what is wrong with a file set, in order of discovery. Invariant: it only grows, up to a
 * bound. Not thread-safe.
 */
final class ProblemLog {

  /** Most problems kept; one more line says that there are others. */
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

  /** Adds a problem that hides what the rest of the file says. */
  void addUnreadable(String file, int line, String found, String allowed) {
    add(file, line, "", found, allowed);
    markUnreadable();
  }

  /** Notes that the content of some file is unknown. */
  void markUnreadable() {
    unreadable = true;
  }

  /** Returns whether the content of some file is unknown. */
  boolean hasUnreadableFile() {
    return unreadable;
  }

  boolean isEmpty() {
    return problems.isEmpty();
  }

  List<FileSetProblem> problems() {
    return List.copyOf(problems);
  }
}
