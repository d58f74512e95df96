package org.chivecross.cli.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;

/** Writes the packed values of a file set to files below a directory. Stateless. */
final class PackWriter {

  private PackWriter() {}

  /** Returns whether the directory is missing or empty. */
  static boolean isMissingOrEmpty(Path directory) throws IOException {
    if (!Files.exists(directory)) {
      return true;
    }
    if (!Files.isDirectory(directory)) {
      return false;
    }
    try (Stream<Path> content = Files.list(directory)) {
      return content.findAny().isEmpty();
    }
  }

  /**
   * Writes each value to a file below the directory.
   *
   * @param values content of each value by its path below the directory
   * @throws IOException if a value can't be written
   */
  static void write(Path directory, Map<String, byte[]> values) throws IOException {
    for (Map.Entry<String, byte[]> value : values.entrySet()) {
      Path file = directory.resolve(value.getKey());
      Path parent = file.getParent();
      if (parent != null) {
        Files.createDirectories(parent);
      }
      Files.write(file, value.getValue());
    }
  }
}
