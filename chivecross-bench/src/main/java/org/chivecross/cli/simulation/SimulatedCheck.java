package org.chivecross.cli.simulation;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivecross.logic.config.FileSetCheck;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;

/**
 * Check of the file sets that {@link FakePlatform} publishes. Refuses sets with the marker {@link
 * #INVALID_MARKER} and counts mixed sets. The checked set carries its revision as the name of its
 * deployment. Not thread-safe.
 */
final class SimulatedCheck implements FileSetCheck {

  /** Marker in the files of a set that the check refuses. */
  static final String INVALID_MARKER = "bad";

  private static final int FILES_PER_SET = 3;

  private int mixedSets;

  @Override
  public Result<FileSet> check(Map<String, byte[]> contents) {
    Set<String> revisions = new HashSet<>();
    for (byte[] content : contents.values()) {
      String[] words = new String(content, StandardCharsets.UTF_8).split(" ", -1);
      if (words[0].equals(INVALID_MARKER)) {
        return Result.failed(Step.FILE_SET, Failure.LOCAL, "set has the marker of invalid sets");
      }
      if (!words[1].equals("0")) {
        revisions.add(words[1]);
      }
    }
    if (revisions.size() != 1 || contents.size() != FILES_PER_SET) {
      mixedSets++;
    }
    String revision = revisions.isEmpty() ? "" : revisions.iterator().next();
    Deployment deployment = new Deployment(revision, 1, 1, 1, List.of(), List.of());
    return Result.success(new FileSet(deployment, List.of(), List.of(), List.of()));
  }

  /** Returns how many sets had files of several revisions or a wrong number of files. */
  int mixedSets() {
    return mixedSets;
  }
}
