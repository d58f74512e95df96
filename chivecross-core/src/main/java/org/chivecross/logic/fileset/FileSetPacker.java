package org.chivecross.logic.fileset;

import java.util.Map;
import java.util.TreeMap;
import org.chivecross.logic.manifest.ManifestCodec;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.Manifest;
import org.chivecross.model.manifest.ManifestFile;

/**
 * Converts a valid file set to the values to publish on the platform. Free of side effects;
 * immutable and safe for use by many threads.
 */
public final class FileSetPacker {

  private static final String MANIFEST_FILE = "manifest";
  private static final String CONTENT_DIRECTORY = "files/";

  private final FileSetParser parser = new FileSetParser();
  private final ManifestCodec codec = new ManifestCodec();

  /** Creates a packer. */
  public FileSetPacker() {}

  /**
   * Packs a file set.
   *
   * @param contents content of each file by its path within the set
   * @param epoch first part of the version
   * @return each value by its path below the output directory, the manifest to be published last;
   *     or a failure for each problem found
   */
  public Result<Map<String, byte[]>> pack(Map<String, byte[]> contents, long epoch) {
    return parser.parseBytes(contents).flatMap(set -> pack(set, contents, epoch));
  }

  private Result<Map<String, byte[]>> pack(FileSet set, Map<String, byte[]> contents, long epoch) {
    Manifest manifest = codec.describe(set.deployment().name(), epoch, contents);
    byte[] encoded = codec.write(manifest);
    if (encoded.length > Manifest.MAX_VALUE_BYTES) {
      return Result.failed(
          Step.FILE_SET,
          Failure.LOCAL,
          "the manifest: found "
              + encoded.length
              + " bytes, allowed: at most "
              + Manifest.MAX_VALUE_BYTES);
    }
    Map<String, byte[]> values = new TreeMap<>();
    for (ManifestFile file : manifest.files()) {
      values.put(
          CONTENT_DIRECTORY + file.sha256(), contents.getOrDefault(file.name(), new byte[0]));
    }
    values.put(MANIFEST_FILE, encoded);
    return Result.success(values);
  }
}
