package org.chivecross.model.manifest;

import java.util.List;

/**
 * List of the files of one file set. Immutable. Contains only the epoch of the version, since the
 * platform assigns the revision when the manifest is written.
 *
 * @param format version of the manifest format, {@link #FORMAT}
 * @param deployment name of the deployment that the set is for
 * @param epoch first part of the version, at least 0
 * @param files all files, in ascending order of their names
 */
public record Manifest(int format, String deployment, long epoch, List<ManifestFile> files) {

  /** Version of the manifest format that this release reads and writes. */
  public static final int FORMAT = 1;

  /** Maximum size of one platform value, in bytes. */
  public static final int MAX_VALUE_BYTES = 1_000_000;

  /** Maximum number of files of one set. */
  public static final int MAX_FILES = 4_000;

  public Manifest {
    files = List.copyOf(files);
  }

  /** Returns the platform key of the manifest of a deployment. */
  public static String manifestKey(String deployment) {
    return "chivecross/" + deployment + "/manifest";
  }

  /** Returns the platform key of a file with the given content digest. */
  public static String fileKey(String deployment, String sha256) {
    return "chivecross/" + deployment + "/files/" + sha256;
  }
}
