package org.chivecross.logic.request;

import org.chivecross.logic.dispatch.Dispatcher;

/**
 * Creates machines whose requests are placed by one dispatcher. All machines are used under the
 * lock that guards the dispatcher.
 */
public final class DispatchRequestMachines implements RequestMachines {

  private final Dispatcher dispatcher;

  /** Creates a factory of machines. */
  public DispatchRequestMachines(Dispatcher dispatcher) {
    this.dispatcher = dispatcher;
  }

  @Override
  public RequestMachine create() {
    return create(() -> {});
  }

  @Override
  public RequestMachine create(Runnable wake) {
    return new DispatchRequestMachine(dispatcher, wake);
  }
}
