package org.chivecross.logic.fleet;

import java.util.Collection;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.FleetMember;

/**
 * Order in which entries read the store: those later in rank wait longer, so that they read only
 * when those before them are silent, cut off or turned away. Stateless.
 */
final class ReadOrder {

  /** Additional age of a view for each place in rank, several times the way of a read's news. */
  static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

  /** Places in rank that are told apart by a whole step. */
  private static final int WHOLE_STEPS = 5;

  /** Additional age for each further place, so that many entries don't read together. */
  private static final long FURTHER_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** Further places that are told apart; the last ones read a view that is 1.4 s old. */
  private static final int MAX_FURTHER = 40;

  private ReadOrder() {}

  /** Returns an entry's place: the first of each data centre come before the second ones. */
  static int rank(String ip, String dataCentre, Collection<FleetMember> others) {
    TreeMap<String, Integer> sizes = new TreeMap<>();
    int ownPlace = 0;
    for (FleetMember other : others) {
      sizes.merge(other.dataCentre(), 1, Integer::sum);
      boolean isNear = other.dataCentre().equals(dataCentre);
      if (isNear && other.ip().compareTo(ip) < 0) {
        ownPlace++;
      }
    }
    int rank = ownPlace;
    for (var size : sizes.entrySet()) {
      boolean own = size.getKey().equals(dataCentre);
      boolean earlier = size.getKey().compareTo(dataCentre) < 0;
      if (!own) {
        rank += Math.min(size.getValue(), ownPlace + (earlier ? 1 : 0));
      }
    }
    return rank;
  }

  /** Returns the additional age of the view at which an entry reads. */
  static long delayNanos(int rank) {
    int whole = Math.min(WHOLE_STEPS, rank);
    int further = Math.min(MAX_FURTHER, rank - whole);
    return whole * STEP_NANOS + further * FURTHER_STEP_NANOS;
  }
}
