package org.chivecross.logic.request;

import org.chivecross.logic.dispatch.DispatchJournal;
import org.chivecross.logic.dispatch.Dispatcher;

/**
 * Creates machines whose requests are placed by one dispatcher. All machines are used under the
 * lock that guards the dispatcher.
 */
public final class DispatchRequestMachines implements RequestMachines {

  private final Dispatcher dispatcher;
  private final DispatchJournal journal;

  /**
   * Creates a factory of machines.
   *
   * @param journal keeps what the machines decide
   */
  public DispatchRequestMachines(Dispatcher dispatcher, DispatchJournal journal) {
    this.dispatcher = dispatcher;
    this.journal = journal;
  }

  @Override
  public RequestMachine create() {
    return create(() -> {});
  }

  @Override
  public RequestMachine create(Runnable wake) {
    return new DispatchRequestMachine(dispatcher, journal, wake);
  }
}
