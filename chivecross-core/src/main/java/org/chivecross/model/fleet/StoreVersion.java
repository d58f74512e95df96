package org.chivecross.model.fleet;

/**
 * Version of the platform's store. A store that was restored from an older copy starts a new era
 * and assigns revisions again, so revisions of different eras are not comparable. Immutable.
 *
 * @param era number of times that the store was restored; 0 while unknown
 * @param revision revision of the store within the era
 */
public record StoreVersion(long era, long revision) implements Comparable<StoreVersion> {

  /** Precedes the version of every store. */
  public static final StoreVersion NONE = new StoreVersion(0, 0);

  @Override
  public int compareTo(StoreVersion other) {
    int byEra = Long.compare(era, other.era);
    return byEra != 0 ? byEra : Long.compare(revision, other.revision);
  }

  /** Returns whether this version precedes another. */
  public boolean isBefore(StoreVersion other) {
    return compareTo(other) < 0;
  }

  /** Returns the later of two versions. */
  public static StoreVersion later(StoreVersion a, StoreVersion b) {
    return a.isBefore(b) ? b : a;
  }
}
