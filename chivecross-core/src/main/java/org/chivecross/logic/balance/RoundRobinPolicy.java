package org.chivecross.logic.balance;

import java.util.concurrent.atomic.AtomicIntegerArray;
import org.chivecross.model.table.TargetTable;

/** Round robin over the targets of each service. Baseline of the experiments. Thread-safe. */
public final class RoundRobinPolicy implements TargetPolicy {

  private final TargetTable targets;
  private final AtomicIntegerArray nextIndexes;

  /** Creates a policy that starts at a random target. */
  public RoundRobinPolicy(TargetTable targets, SharedRandom random) {
    this.targets = targets;
    nextIndexes = new AtomicIntegerArray(targets.capacity());
    for (int i = 0; i < nextIndexes.length(); i++) {
      nextIndexes.set(i, random.nextInt(Short.MAX_VALUE, i));
    }
  }

  @Override
  public int choose(Candidates candidates, int excludedTarget, long nowNanos) {
    int size = candidates.size();
    int service = targets.service(candidates.row(0));
    int index = Math.floorMod(nextIndexes.getAndIncrement(service), size);
    if (candidates.row(index) == excludedTarget) {
      index = (index + 1) % size;
    }
    return candidates.row(index);
  }
}
