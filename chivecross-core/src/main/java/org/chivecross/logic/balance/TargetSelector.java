package org.chivecross.logic.balance;

import org.chivecross.model.fileset.RequestClass;

/** Chooses the target of an attempt. Implementations are safe for use by many threads. */
@FunctionalInterface
public interface TargetSelector {

  /** Returned when no target may receive the request. */
  int NONE = -1;

  /**
   * Chooses a target.
   *
   * @param service row of the service
   * @param requestClass class of the request
   * @param excludedTarget row of a target to avoid if another one is usable, or {@link #NONE}
   * @param nowNanos monotonic time
   * @return row of the target, or {@link #NONE}
   */
  int select(int service, RequestClass requestClass, int excludedTarget, long nowNanos);
}
