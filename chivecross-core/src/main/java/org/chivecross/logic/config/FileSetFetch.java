package org.chivecross.logic.config;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.chivecross.logic.manifest.ContentDigest;
import org.chivecross.logic.manifest.ManifestCodec;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.manifest.Manifest;
import org.chivecross.model.manifest.ManifestFile;
import org.jspecify.annotations.Nullable;

/**
 * Fetch of one file set from the platform and other entries.
 *
 * <p>Invariant: {@link #checkWhenComplete} returns a set only when every file is present with the
 * digest and the size that the manifest states. Not thread-safe; the tick thread owns it.
 */
final class FileSetFetch {

  private final ConfigVersion version;
  private final String deployment;
  private final Map<String, byte[]> reusableContents;
  private final Map<String, byte[]> contents = new HashMap<>();
  private final Map<String, ManifestFile> missing = new LinkedHashMap<>();
  private byte @Nullable [] manifestJson;
  private @Nullable Result<Manifest> manifest;

  /**
   * Starts a fetch.
   *
   * @param reusableContents contents by digest that are available without a fetch
   */
  FileSetFetch(ConfigVersion version, String deployment, Map<String, byte[]> reusableContents) {
    this.version = version;
    this.deployment = deployment;
    this.reusableContents = reusableContents;
  }

  ConfigVersion version() {
    return version;
  }

  boolean needsManifest() {
    return manifest == null;
  }

  /** Stores the manifest and determines the files that are missing. */
  void receiveManifest(byte[] json, String source, ManifestCodec codec) {
    manifestJson = json;
    Result<Manifest> read = codec.read(json, source);
    manifest = read.flatMap(this::checkDeployment);
    if (!(manifest instanceof Result.Success<Manifest> readable)) {
      return;
    }
    for (ManifestFile file : readable.value().files()) {
      byte[] content = reusableContents.get(file.sha256());
      if (content == null) {
        missing.put(file.sha256(), file);
      } else {
        contents.put(file.sha256(), content);
      }
    }
  }

  /** Stores a file; returns false when its size or digest differs from the manifest. */
  boolean receiveFile(String digest, byte[] content) {
    ManifestFile file = missing.get(digest);
    if (file == null) {
      return true;
    }
    if (content.length != file.bytes() || !ContentDigest.sha256(content).equals(digest)) {
      return false;
    }
    contents.put(digest, content);
    missing.remove(digest);
    return true;
  }

  /** Returns the files that are still missing, by digest. */
  Map<String, ManifestFile> missing() {
    return missing;
  }

  /** Returns the contents available so far by digest. */
  Map<String, byte[]> contents() {
    return contents;
  }

  /** Returns the set with the result of its check; empty while it is incomplete. */
  Optional<StoredFileSet> checkWhenComplete(FileSetCheck check) {
    if (manifest == null || manifestJson == null || !missing.isEmpty()) {
      return Optional.empty();
    }
    Result<FileSet> checkResult = manifest.flatMap(readable -> check.check(byName(readable)));
    return Optional.of(new StoredFileSet(version, manifestJson, Map.copyOf(contents), checkResult));
  }

  private Map<String, byte[]> byName(Manifest readable) {
    Map<String, byte[]> named = new TreeMap<>();
    for (ManifestFile file : readable.files()) {
      byte[] content = contents.get(file.sha256());
      if (content == null) {
        throw new IllegalStateException("file " + file.name() + " has no content");
      }
      named.put(file.name(), content);
    }
    return named;
  }

  private Result<Manifest> checkDeployment(Manifest readable) {
    if (readable.deployment().equals(deployment)) {
      return Result.success(readable);
    }
    return Result.failed(
        Step.FILE_SET,
        Failure.LOCAL,
        "manifest is for deployment " + readable.deployment() + ", allowed: " + deployment);
  }
}
