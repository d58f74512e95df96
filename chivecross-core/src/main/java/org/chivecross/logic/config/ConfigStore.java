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
 * The sets that this entry holds whole.
 *
 * <p>Invariant: neither the version in force nor the newest version ever goes down, and a set in
 * force has passed the check. Not thread-safe; the tick thread owns it.
 */
final class ConfigStore {

  private static final int REMEMBERED_REJECTIONS = 64;

  private final Deque<ConfigVersion> rejected = new ArrayDeque<>();
  private @Nullable HeldSet inForce;
  private @Nullable HeldSet newest;

  /**
   * Takes a whole set in.
   *
   * @return the set to put in force; empty when it was rejected or is older
   */
  Optional<FileSet> adopt(HeldSet set) {
    if (set.version().isNewerThan(newestVersion())) {
      newest = set;
    }
    if (!(set.verdict() instanceof Result.Success<FileSet> accepted)) {
      rejected.addLast(set.version());
      if (rejected.size() > REMEMBERED_REJECTIONS) {
        rejected.removeFirst();
      }
      return Optional.empty();
    }
    if (!set.version().isNewerThan(inForceVersion())) {
      return Optional.empty();
    }
    inForce = set;
    return Optional.of(accepted.value());
  }

  /** Returns whether holding a version could change what is in force or shown as rejected. */
  boolean wants(ConfigVersion version) {
    if (version.isNewerThan(newestVersion())) {
      return true;
    }
    return version.isNewerThan(inForceVersion()) && !rejected.contains(version);
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
    if (inForce == null || !(inForce.verdict() instanceof Result.Success<FileSet> accepted)) {
      return Optional.empty();
    }
    return Optional.of(accepted.value());
  }

  List<Failure> rejection() {
    if (newest == null || !(newest.verdict() instanceof Result.Failed<FileSet> refused)) {
      return List.of();
    }
    return refused.failures();
  }

  /** Returns the manifest (empty digest) or a file of a version held. */
  Optional<byte[]> content(ConfigVersion version, String digest) {
    for (HeldSet set : held()) {
      if (!set.version().equals(version)) {
        continue;
      }
      return Optional.ofNullable(
          digest.isEmpty() ? set.manifestJson() : set.contents().get(digest));
    }
    return Optional.empty();
  }

  /** Returns the contents of all files held, by digest. */
  Map<String, byte[]> contents() {
    Map<String, byte[]> contents = new HashMap<>();
    held().forEach(set -> contents.putAll(set.contents()));
    return contents;
  }

  private List<HeldSet> held() {
    if (newest == null) {
      return List.of();
    }
    return inForce == null || inForceVersion().equals(newestVersion())
        ? List.of(newest)
        : List.of(newest, inForce);
  }
}
