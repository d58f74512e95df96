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
 * One set on its way to this entry.
 *
 * <p>Invariant: {@link #finish} gives a set only when every file is present with the digest and the
 * size that the manifest states. Not thread-safe; the tick thread owns it.
 */
final class SetFetch {

  private final ConfigVersion version;
  private final String deployment;
  private final Map<String, byte[]> known;
  private final Map<String, byte[]> contents = new HashMap<>();
  private final Map<String, ManifestFile> missing = new LinkedHashMap<>();
  private byte @Nullable [] manifestJson;
  private @Nullable Result<Manifest> manifest;

  /**
   * Starts a fetch.
   *
   * @param known contents by digest that need not be fetched again
   */
  SetFetch(ConfigVersion version, String deployment, Map<String, byte[]> known) {
    this.version = version;
    this.deployment = deployment;
    this.known = known;
  }

  ConfigVersion version() {
    return version;
  }

  boolean needsManifest() {
    return manifest == null;
  }

  /** Takes the manifest in. */
  void manifest(byte[] json, String source, ManifestCodec codec) {
    manifestJson = json;
    Result<Manifest> read = codec.read(json, source);
    manifest = read.flatMap(this::checkDeployment);
    if (!(manifest instanceof Result.Success<Manifest> readable)) {
      return;
    }
    for (ManifestFile file : readable.value().files()) {
      byte[] content = known.get(file.sha256());
      if (content == null) {
        missing.put(file.sha256(), file);
      } else {
        contents.put(file.sha256(), content);
      }
    }
  }

  /** Takes the content of a file in; false when it is not what the manifest states. */
  boolean file(String digest, byte[] content) {
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

  /** Returns everything fetched so far, by digest. */
  Map<String, byte[]> contents() {
    return contents;
  }

  /** Checks the set once it is whole. */
  Optional<HeldSet> finish(FileSetCheck check) {
    if (manifest == null || manifestJson == null || !missing.isEmpty()) {
      return Optional.empty();
    }
    Result<FileSet> verdict = manifest.flatMap(readable -> check.check(byName(readable)));
    return Optional.of(new HeldSet(version, manifestJson, Map.copyOf(contents), verdict));
  }

  private Map<String, byte[]> byName(Manifest readable) {
    Map<String, byte[]> named = new TreeMap<>();
    for (ManifestFile file : readable.files()) {
      byte[] content = contents.get(file.sha256());
      if (content == null) {
        throw new IllegalStateException("file " + file.name() + " is not there");
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
