package org.chivecross.logic.config;

import java.util.Map;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;

/** The pure check that every entry makes of a whole file set. */
@FunctionalInterface
public interface FileSetCheck {

  /**
   * Checks a set.
   *
   * @param contents content of each file by its name
   */
  Result<FileSet> check(Map<String, byte[]> contents);
}
