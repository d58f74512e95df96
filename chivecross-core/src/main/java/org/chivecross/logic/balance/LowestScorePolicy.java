package org.chivecross.logic.balance;

/**
 * Chooses the target with the lowest score; ties are broken at random. In a large service only a
 * limited number of consecutive candidates from a random start is examined. Thread-safe if its
 * score is.
 */
public final class LowestScorePolicy implements TargetPolicy {

  /**
   * Maximum number of targets examined for one choice, so that a choice in a large service costs no
   * more than in a small one.
   */
  public static final int MAX_EXAMINED = 32;

  private final TargetScore score;
  private final SharedRandom random;
  private final int maxExamined;

  /** Load of a target as one number; lower is better. */
  @FunctionalInterface
  public interface TargetScore {

    /** Returns the score of the target at an index of the candidates. */
    double score(Candidates candidates, int index, long nowNanos);
  }

  /**
   * Creates a policy.
   *
   * @param maxExamined maximum number of targets examined for one choice
   */
  public LowestScorePolicy(TargetScore score, SharedRandom random, int maxExamined) {
    this.score = score;
    this.random = random;
    this.maxExamined = maxExamined;
  }

  @Override
  public int choose(Candidates candidates, int excludedTarget, long nowNanos) {
    int size = candidates.size();
    long bits = random.nextLong(nowNanos);
    int start = SharedRandom.scale(bits, size);
    int examined = Math.min(size, maxExamined);
    int best = TargetSelector.NONE;
    double bestScore = Double.POSITIVE_INFINITY;
    int ties = 1;
    for (int i = 0; i < examined; i++) {
      int index = start + i < size ? start + i : start + i - size;
      int row = candidates.row(index);
      if (row == excludedTarget) {
        continue;
      }
      double value = score.score(candidates, index, nowNanos);
      if (value > bestScore) {
        continue;
      }
      ties = value < bestScore ? 1 : ties + 1;
      bits = bits * 0x5851F42D4C957F2DL + 0x14057B7EF767814FL;
      if (ties == 1 || SharedRandom.scale(bits, ties) == 0) {
        best = row;
        bestScore = value;
      }
    }
    return best == TargetSelector.NONE ? candidates.row(start) : best;
  }
}
