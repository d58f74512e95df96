package org.chivecross.logic.request;

/** Creates the machine of each request. Implementations are safe for use by many threads. */
@FunctionalInterface
public interface RequestMachines {

  /** Returns a machine for a request that is about to arrive. */
  RequestMachine create();

  /**
   * Returns a machine that may ask for a call of {@link RequestMachine#timer} before its time.
   *
   * @param wake asks for that call; may be called by any thread, also within a call of the machine
   */
  default RequestMachine create(Runnable wake) {
    return create();
  }
}
