package org.chivecross.model.manifest;

/**
 * Version of a published file set. Immutable.
 *
 * <p>Versions are totally ordered: first by epoch, then by revision. Two different file sets never
 * have the same version, since the platform gives each write of the manifest its own revision.
 *
 * @param epoch number from the manifest, at least 0; operators raise it when the platform was
 *     rebuilt and its revisions restarted
 * @param revision revision that the platform gave the manifest value, at least 0
 */
public record ConfigVersion(long epoch, long revision) implements Comparable<ConfigVersion> {

  /** Version that stands for no file set; lower than every published version. */
  public static final ConfigVersion NONE = new ConfigVersion(0, 0);

  public ConfigVersion {
    if (epoch < 0 || revision < 0) {
      throw new IllegalArgumentException("negative version: " + epoch + "." + revision);
    }
  }

  @Override
  public int compareTo(ConfigVersion other) {
    int byEpoch = Long.compare(epoch, other.epoch);
    return byEpoch != 0 ? byEpoch : Long.compare(revision, other.revision);
  }

  /** Returns whether this version is higher than the other one. */
  public boolean isNewerThan(ConfigVersion other) {
    return compareTo(other) > 0;
  }

  /** Returns {@code epoch.revision}, the format in logs and the administration API. */
  @Override
  public String toString() {
    return epoch + "." + revision;
  }
}
