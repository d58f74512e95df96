package org.chivecross.cli.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.chivecross.cli.entry.FileSetReader;
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
    Map<String, String> contents;
    try {
      contents = FileSetReader.read(directory);
    } catch (IOException e) {
      return Result.failed(Step.FILE_SET, Failure.LOCAL, directory + ": " + e.getMessage());
    }
    contents.keySet().removeIf(name -> !name.endsWith(".yaml"));
    return new FileSetParser().parse(contents);
  }
}
