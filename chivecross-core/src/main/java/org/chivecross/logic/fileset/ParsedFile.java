package org.chivecross.logic.fileset;

import java.util.Map;

/**
 * A file that was read, with the line of each of its fields. Immutable.
 *
 * @param file path within the set
 * @param value what the file says; of use only as far as the problem log is empty
 * @param lines line of each field by its path
 */
record ParsedFile<T>(String file, T value, Map<String, Integer> lines) {

  /** Returns the line of a field, or 0. */
  int line(String field) {
    return lines.getOrDefault(field, 0);
  }
}
