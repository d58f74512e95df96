package org.chivecross.cli.check;

import java.util.List;
import java.util.Map;
import org.chivecross.model.fileset.FileSetProblem;

/**
 * Result of checking a file set. Immutable.
 *
 * @param valid whether the set is valid
 * @param files number of files
 * @param problems every problem found, in order of files
 * @param packed size in bytes of each written value by its path; empty if nothing was packed
 */
record CheckReport(
    boolean valid, int files, List<FileSetProblem> problems, Map<String, Integer> packed) {
  CheckReport {
    problems = List.copyOf(problems);
    packed = Map.copyOf(packed);
  }
}
