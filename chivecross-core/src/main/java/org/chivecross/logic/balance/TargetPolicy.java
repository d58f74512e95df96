package org.chivecross.logic.balance;

/**
 * Load-balancing policy: chooses one of the candidates. Implementations are safe for use by many
 * threads and allocate nothing.
 */
@FunctionalInterface
public interface TargetPolicy {

  /**
   * Chooses a target.
   *
   * @param candidates targets to choose from, at least one
   * @param excludedTarget row of a target to avoid if there is another candidate, or {@link
   *     TargetSelector#NONE}
   * @param nowNanos monotonic time
   * @return row of the target
   */
  int choose(Candidates candidates, int excludedTarget, long nowNanos);
}
