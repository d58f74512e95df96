package org.chivecross.logic.config;

import java.util.Map;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;

/** Check that every entry runs on a complete file set; a pure function of its contents. */
@FunctionalInterface
public interface FileSetCheck {

  /**
   * Checks a set.
   *
   * @param contents content of each file by its name
   */
  Result<FileSet> check(Map<String, byte[]> contents);
}
