package org.chivecross.logic.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.ConfigOffer;
import org.jspecify.annotations.Nullable;

/**
 * Store of the complete file sets that this entry holds: the one in force and the newest one.
 *
 * <p>Invariant: the version in force and the newest version never decrease, and a set in force has
 * passed the check. Not thread-safe; the tick thread owns it.
 */
final class ConfigStore {

  private static final int MAX_REMEMBERED_REJECTIONS = 64;

  private final Deque<ConfigVersion> rejectedVersions = new ArrayDeque<>();
  private @Nullable StoredFileSet inForce;
  private @Nullable StoredFileSet newest;

  /**
   * Stores a complete set.
   *
   * @return the set to put in force; empty when it was rejected or is not newer than the one in
   *     force
   */
  Optional<FileSet> adopt(StoredFileSet set) {
    if (set.version().isNewerThan(newestVersion())) {
      newest = set;
    }
    if (!(set.checkResult() instanceof Result.Success<FileSet> accepted)) {
      rejectedVersions.addLast(set.version());
      if (rejectedVersions.size() > MAX_REMEMBERED_REJECTIONS) {
        rejectedVersions.removeFirst();
      }
      return Optional.empty();
    }
    if (!set.version().isNewerThan(inForceVersion())) {
      return Optional.empty();
    }
    inForce = set;
    return Optional.of(accepted.value());
  }

  /** Returns whether storing a version could change the version in force or the newest version. */
  boolean isUseful(ConfigVersion version) {
    if (version.isNewerThan(newestVersion())) {
      return true;
    }
    return version.isNewerThan(inForceVersion()) && !rejectedVersions.contains(version);
  }

  ConfigVersion inForceVersion() {
    return inForce == null ? ConfigVersion.NONE : inForce.version();
  }

  ConfigVersion newestVersion() {
    return newest == null ? ConfigVersion.NONE : newest.version();
  }

  ConfigOffer offer() {
    return new ConfigOffer(inForceVersion(), newestVersion());
  }

  Optional<FileSet> fileSet() {
    if (inForce == null || !(inForce.checkResult() instanceof Result.Success<FileSet> accepted)) {
      return Optional.empty();
    }
    return Optional.of(accepted.value());
  }

  List<Failure> newestRejection() {
    if (newest == null || !(newest.checkResult() instanceof Result.Failed<FileSet> refused)) {
      return List.of();
    }
    return refused.failures();
  }

  /** Returns the manifest (for an empty digest) or a file of a stored version. */
  Optional<byte[]> content(ConfigVersion version, String digest) {
    for (StoredFileSet set : storedSets()) {
      if (!set.version().equals(version)) {
        continue;
      }
      return Optional.ofNullable(
          digest.isEmpty() ? set.manifestJson() : set.contents().get(digest));
    }
    return Optional.empty();
  }

  /** Returns the contents of all stored files by digest. */
  Map<String, byte[]> contents() {
    Map<String, byte[]> contents = new HashMap<>();
    storedSets().forEach(set -> contents.putAll(set.contents()));
    return contents;
  }

  private List<StoredFileSet> storedSets() {
    if (newest == null) {
      return List.of();
    }
    return inForce == null || inForceVersion().equals(newestVersion())
        ? List.of(newest)
        : List.of(newest, inForce);
  }
}
