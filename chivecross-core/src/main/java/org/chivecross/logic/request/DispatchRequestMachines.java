package org.chivecross.logic.request;

import org.chivecross.logic.dispatch.DispatchJournal;
import org.chivecross.logic.dispatch.Dispatcher;

/**
 * Factory of request machines whose targets are chosen by one dispatcher. All machines are used
 * under the lock that guards the dispatcher.
 */
public final class DispatchRequestMachines implements RequestMachines {

  private final Dispatcher dispatcher;
  private final DispatchJournal journal;

  /**
   * Creates a factory of machines.
   *
   * @param journal records the decisions of the machines
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
  public RequestMachine create(Runnable scheduleTimer) {
    return new DispatchRequestMachine(dispatcher, journal, scheduleTimer);
  }
}
