package org.chivecross.logic.fileset;

import java.util.Map;

/**
 * A parsed file with the line of each of its fields. Immutable.
 *
 * @param file path within the set
 * @param value record read from the file; usable only when the problem log is empty
 * @param lines line of each field by its path
 */
record ParsedFile<T>(String file, T value, Map<String, Integer> lines) {

  /** Returns the line of a field; 0 when it is unknown. */
  int line(String field) {
    return lines.getOrDefault(field, 0);
  }
}
