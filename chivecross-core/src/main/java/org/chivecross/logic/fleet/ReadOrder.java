package org.chivecross.logic.fleet;

import java.util.Collection;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.FleetMember;

/**
 * Order in which entries read the store: entries of higher rank wait longer, so that they read only
 * when those of lower rank are down, partitioned or refused by the store. Stateless.
 */
final class ReadOrder {

  /** Additional view age per rank, several times what an update takes to reach the others. */
  static final long FULL_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

  /** Number of ranks that are a full step apart. */
  private static final int MAX_FULL_STEPS = 5;

  /** Additional view age for each later rank, so that many entries don't read at the same time. */
  private static final long REDUCED_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** Number of later ranks that are a reduced step apart; the last read at a view age of 1.4 s. */
  private static final int MAX_REDUCED_STEPS = 40;

  private ReadOrder() {}

  /** Returns an entry's rank; the first entries of all data centres precede the second ones. */
  static int rank(String ip, String dataCentre, Collection<FleetMember> others) {
    TreeMap<String, Integer> sizes = new TreeMap<>();
    int ownRankInDataCentre = 0;
    for (FleetMember other : others) {
      sizes.merge(other.dataCentre(), 1, Integer::sum);
      boolean isSameDataCentre = other.dataCentre().equals(dataCentre);
      if (isSameDataCentre && other.ip().compareTo(ip) < 0) {
        ownRankInDataCentre++;
      }
    }
    int rank = ownRankInDataCentre;
    for (var size : sizes.entrySet()) {
      boolean isOwn = size.getKey().equals(dataCentre);
      boolean isEarlier = size.getKey().compareTo(dataCentre) < 0;
      if (!isOwn) {
        rank += Math.min(size.getValue(), ownRankInDataCentre + (isEarlier ? 1 : 0));
      }
    }
    return rank;
  }

  /** Returns the view age in excess of the base age at which an entry of this rank reads. */
  static long delayNanos(int rank) {
    int fullSteps = Math.min(MAX_FULL_STEPS, rank);
    int reducedSteps = Math.min(MAX_REDUCED_STEPS, rank - fullSteps);
    return fullSteps * FULL_STEP_NANOS + reducedSteps * REDUCED_STEP_NANOS;
  }
}
