package org.chivecross.logic.manifest;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.manifest.Manifest;
import org.chivecross.model.manifest.ManifestFile;

/**
 * Reads and writes manifests as JSON in the format of {@code docs/manifest-format.md}. Immutable
 * and safe for use by many threads.
 */
public final class ManifestCodec {

  private static final String DIGEST_PATTERN = "[0-9a-f]{64}";

  private final JsonMapper mapper =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(SerializationFeature.INDENT_OUTPUT)
          .build();

  /** Creates a codec. */
  public ManifestCodec() {}

  /**
   * Builds the manifest of a file set.
   *
   * @param contents content of each file by its name
   */
  public Manifest describe(String deployment, long epoch, Map<String, byte[]> contents) {
    List<ManifestFile> files = new ArrayList<>();
    for (Map.Entry<String, byte[]> file : contents.entrySet()) {
      String digest = ContentDigest.sha256(file.getValue());
      files.add(
          new ManifestFile(
              file.getKey(), Manifest.fileKey(deployment, digest), digest, file.getValue().length));
    }
    files.sort(Comparator.comparing(ManifestFile::name));
    return new Manifest(Manifest.FORMAT, deployment, epoch, files);
  }

  /** Returns the JSON of a manifest in UTF-8; equal manifests give equal bytes. */
  public byte[] write(Manifest manifest) {
    try {
      return mapper.writeValueAsBytes(manifest);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("serialization of a manifest failed", e);
    }
  }

  /**
   * Reads and checks a manifest.
   *
   * @param source origin of the manifest, named in failures
   */
  public Result<Manifest> read(byte[] json, String source) {
    if (json.length > Manifest.MAX_VALUE_BYTES) {
      return failed(source, "value has " + json.length + " bytes, allowed: at most 1000000");
    }
    Manifest manifest;
    try {
      manifest = mapper.readValue(json, Manifest.class);
    } catch (IOException e) {
      return failed(source, "manifest is not readable: " + e.getMessage());
    }
    List<Failure> failures = new ArrayList<>();
    check(manifest, source, failures);
    return failures.isEmpty() ? Result.success(manifest) : new Result.Failed<>(failures);
  }

  private static void check(Manifest manifest, String source, List<Failure> failures) {
    if (manifest.format() != Manifest.FORMAT) {
      failures.add(failure(source, "format is " + manifest.format() + ", allowed: 1"));
    }
    if (manifest.epoch() < 0) {
      failures.add(failure(source, "epoch is " + manifest.epoch() + ", allowed: at least 0"));
    }
    if (manifest.files().size() > Manifest.MAX_FILES) {
      failures.add(failure(source, manifest.files().size() + " files, allowed: at most 4000"));
    }
    Set<String> names = new HashSet<>();
    for (ManifestFile file : manifest.files()) {
      if (!names.add(file.name())) {
        failures.add(failure(source, "file " + file.name() + " is listed twice"));
      }
      if (!file.sha256().matches(DIGEST_PATTERN)) {
        failures.add(failure(source, "file " + file.name() + " has no SHA-256 digest"));
      }
      if (file.bytes() < 0 || file.bytes() > Manifest.MAX_VALUE_BYTES) {
        failures.add(
            failure(
                source,
                "file " + file.name() + " has " + file.bytes() + " bytes, allowed: 0 to 1000000"));
      }
    }
  }

  private static Failure failure(String source, String detail) {
    return new Failure(Step.FILE_SET, source, detail);
  }

  private static Result<Manifest> failed(String source, String detail) {
    return Result.failed(Step.FILE_SET, source, detail);
  }
}
