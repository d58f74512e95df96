package org.chivecross.logic.balance;

import org.chivecross.model.table.TargetTable;

/**
 * Takes two targets at random and chooses the one with fewer of this entry's attempts in flight for
 * each slot. Safe for use by many threads.
 */
public final class TwoChoicesPolicy implements TargetPolicy {

  private final TargetTable targets;
  private final SharedRandom random;

  /** Creates a policy over the live counters of a table. */
  public TwoChoicesPolicy(TargetTable targets, SharedRandom random) {
    this.targets = targets;
    this.random = random;
  }

  @Override
  public int choose(Candidates candidates, int excludedTarget, long nowNanos) {
    int size = candidates.size();
    long bits = random.nextLong(nowNanos);
    int first = SharedRandom.scale(bits, size);
    if (size == 1) {
      return candidates.row(first);
    }
    int step = 1 + SharedRandom.scale(bits << Integer.SIZE, size - 1);
    int second = (first + step) % size;
    if (candidates.row(first) == excludedTarget) {
      return candidates.row(second);
    }
    if (candidates.row(second) == excludedTarget) {
      return candidates.row(first);
    }
    long firstLoad =
        (long) targets.loads().inFlight(candidates.row(first)) * candidates.slots(second);
    long secondLoad =
        (long) targets.loads().inFlight(candidates.row(second)) * candidates.slots(first);
    return candidates.row(secondLoad < firstLoad ? second : first);
  }
}
