package org.chivecross.logic.request;

/** Creates the machine of each request. Implementations are safe for use by many threads. */
@FunctionalInterface
public interface RequestMachines {

  /** Returns a machine for a request that is about to arrive. */
  RequestMachine create();
}
