package org.chivecross.cli.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Reads the files of a file set from a directory. Stateless. */
public final class FileSetReader {

  private FileSetReader() {}

  /**
   * Returns the contents of all files by their path, relative to the directory and separated by
   * {@code /}.
   *
   * @throws IOException if a file can't be read
   */
  public static Map<String, String> read(Path directory) throws IOException {
    List<Path> files;
    try (Stream<Path> paths = Files.walk(directory)) {
      files = paths.filter(Files::isRegularFile).toList();
    }
    Map<String, String> contents = new HashMap<>();
    for (Path file : files) {
      String name = directory.relativize(file).toString().replace('\\', '/');
      contents.put(name, Files.readString(file));
    }
    return contents;
  }
}
