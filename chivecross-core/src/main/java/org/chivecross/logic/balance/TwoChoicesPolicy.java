package org.chivecross.logic.balance;

import org.chivecross.logic.balance.LowestScorePolicy.TargetScore;

/**
 * Power of two choices: draws two targets at random and chooses the one with the lower score.
 * Baseline of the experiments. Thread-safe if its score is.
 */
public final class TwoChoicesPolicy implements TargetPolicy {

  private final TargetScore score;
  private final SharedRandom random;

  /** Creates a policy. */
  public TwoChoicesPolicy(TargetScore score, SharedRandom random) {
    this.score = score;
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
    double firstScore = score.score(candidates, first, nowNanos);
    double secondScore = score.score(candidates, second, nowNanos);
    return candidates.row(secondScore < firstScore ? second : first);
  }
}
