package org.chivecross.cli.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;

/** Writes the values to publish below a directory. Stateless. */
final class PackWriter {

  private PackWriter() {}

  /** Returns whether the directory is free to be written. */
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
   * Writes each value below the directory.
   *
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
