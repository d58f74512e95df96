package org.chivecross.model.fleet;

import java.util.Comparator;

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

  private static final Comparator<StoreVersion> ORDER =
      Comparator.comparingLong(StoreVersion::era).thenComparingLong(StoreVersion::revision);

  @Override
  public int compareTo(StoreVersion other) {
    return ORDER.compare(this, other);
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
