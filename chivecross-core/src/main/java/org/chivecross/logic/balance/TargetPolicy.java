package org.chivecross.logic.balance;

/**
 * Chooses one of the targets that may take new work. Implementations are safe for use by many
 * threads and allocate nothing.
 */
@FunctionalInterface
public interface TargetPolicy {

  /**
   * Chooses a target.
   *
   * @param candidates targets to choose from, at least one
   * @param excludedTarget row to avoid while another one is left, or {@link TargetSelector#NONE}
   * @param nowNanos monotonic time
   * @return row of the target
   */
  int choose(Candidates candidates, int excludedTarget, long nowNanos);
}
