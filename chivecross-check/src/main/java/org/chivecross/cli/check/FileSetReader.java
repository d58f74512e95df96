package org.chivecross.cli.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.chivecross.logic.fileset.FileSetParser;
import org.chivecross.model.manifest.Manifest;

/** Reads the files of a file set from a directory. Stateless. */
final class FileSetReader {

  private static final int MAX_DIRECTORY_DEPTH = 8;

  private FileSetReader() {}

  /**
   * Returns the contents by path below the directory, with {@code /} as separator. Files and
   * directories whose name starts with a dot are skipped. Reads at most one byte more than the
   * maximum size of a file and at most one file more than the maximum number, which is enough to
   * detect that a limit is exceeded.
   *
   * @throws IOException if a file can't be read
   */
  static Map<String, byte[]> read(Path directory) throws IOException {
    List<Path> files;
    try (Stream<Path> paths = Files.walk(directory, MAX_DIRECTORY_DEPTH)) {
      files =
          paths
              .filter(Files::isRegularFile)
              .filter(path -> !isHidden(directory.relativize(path)))
              .limit(FileSetParser.MAX_FILES + 1L)
              .toList();
    }
    Map<String, byte[]> contents = new TreeMap<>();
    for (Path file : files) {
      String name = directory.relativize(file).toString().replace('\\', '/');
      contents.put(name, content(file));
    }
    return contents;
  }

  private static byte[] content(Path file) throws IOException {
    try (var stream = Files.newInputStream(file)) {
      return stream.readNBytes(Manifest.MAX_VALUE_BYTES + 1);
    }
  }

  private static boolean isHidden(Path relative) {
    for (Path part : relative) {
      if (part.toString().startsWith(".")) {
        return true;
      }
    }
    return false;
  }
}
