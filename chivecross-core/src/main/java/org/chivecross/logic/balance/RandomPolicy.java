package org.chivecross.logic.balance;

/** Chooses a target uniformly at random. Baseline of the experiments. Thread-safe. */
public final class RandomPolicy implements TargetPolicy {

  private final SharedRandom random;

  /** Creates a policy. */
  public RandomPolicy(SharedRandom random) {
    this.random = random;
  }

  @Override
  public int choose(Candidates candidates, int excludedTarget, long nowNanos) {
    int size = candidates.size();
    int index = random.nextInt(size, nowNanos);
    if (candidates.row(index) == excludedTarget) {
      index = (index + 1) % size;
    }
    return candidates.row(index);
  }
}
