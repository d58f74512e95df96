package org.chivecross.logic.request;

/** Factory of request machines. Implementations are thread-safe. */
@FunctionalInterface
public interface RequestMachines {

  /** Returns a machine for a request that is about to arrive. */
  RequestMachine create();

  /**
   * Returns a machine that may request a call of {@link RequestMachine#timer} before its time.
   *
   * @param scheduleTimer requests that call; may run on any thread, also within a call of the
   *     machine
   */
  default RequestMachine create(Runnable scheduleTimer) {
    return create();
  }
}
