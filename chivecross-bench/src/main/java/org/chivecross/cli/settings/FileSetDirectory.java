package org.chivecross.cli.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.chivecross.logic.fileset.FileSetParser;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fileset.FileSet;

/** Reads a file set from a directory. Stateless. */
public final class FileSetDirectory {

  private FileSetDirectory() {}

  /** Reads and parses all YAML files below a directory. */
  public static Result<FileSet> read(Path directory) {
    Map<String, String> contents = new TreeMap<>();
    try (Stream<Path> files = Files.walk(directory)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        String name = directory.relativize(file).toString();
        if (name.endsWith(".yaml")) {
          contents.put(name, Files.readString(file));
        }
      }
    } catch (IOException e) {
      return Result.failed(Step.FILE_SET, Failure.LOCAL, directory + ": " + e.getMessage());
    }
    return new FileSetParser().parse(contents);
  }
}
