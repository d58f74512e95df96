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
 * Check of the sets that {@link FakePlatform} publishes: refuses those with the word {@link
 * #INVALID_MARKER} and finds mixed sets. The name of the deployment becomes the revision. Not
 * thread-safe.
 */
final class SimulatedCheck implements FileSetCheck {

  /** Word of sets that are to be refused. */
  static final String INVALID_MARKER = "bad";

  private static final int FILES_PER_SET = 3;

  private int mixedSets;

  @Override
  public Result<FileSet> check(Map<String, byte[]> contents) {
    Set<String> revisions = new HashSet<>();
    for (byte[] content : contents.values()) {
      String[] words = new String(content, StandardCharsets.UTF_8).split(" ", -1);
      if (words[0].equals(INVALID_MARKER)) {
        return Result.failed(Step.FILE_SET, Failure.LOCAL, "bad set");
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

  /** Returns how many sets had files of several revisions, or too few. */
  int mixedSets() {
    return mixedSets;
  }
}
