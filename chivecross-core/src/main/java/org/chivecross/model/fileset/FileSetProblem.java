package org.chivecross.model.fileset;

import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;

/**
 * One problem for which a file set is refused. Immutable.
 *
 * @param file path of the file within the set
 * @param line line in the file, from 1; 0 when the problem concerns the whole file or set
 * @param field path of the field, such as {@code targets[0].slots}; empty for the whole file
 * @param found what the file holds
 * @param allowed what it may hold
 */
public record FileSetProblem(String file, int line, String field, String found, String allowed) {

  /** Returns the problem as a failure whose peer is the file. */
  public Failure toFailure() {
    return new Failure(Step.FILE_SET, file, detail());
  }

  /** Returns the problem without its file, in one line. */
  public String detail() {
    StringBuilder text = new StringBuilder();
    if (line > 0) {
      text.append("line ").append(line).append(": ");
    }
    if (!field.isEmpty()) {
      text.append(field).append(": ");
    }
    return text.append("found ").append(found).append(", allowed: ").append(allowed).toString();
  }

  @Override
  public String toString() {
    return file + ": " + detail();
  }
}
