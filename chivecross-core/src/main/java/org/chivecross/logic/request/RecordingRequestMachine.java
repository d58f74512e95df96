package org.chivecross.logic.request;

import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;
import org.jspecify.annotations.Nullable;

/**
 * Decorator that adds the decisions of another request machine to a {@link DecisionLog}. Not
 * thread-safe.
 */
final class RecordingRequestMachine implements RequestMachine {

  private final RequestMachine machine;
  private final DecisionLog log;
  private @Nullable RequestHead head;

  RecordingRequestMachine(RequestMachine machine, DecisionLog log) {
    this.machine = machine;
    this.log = log;
  }

  @Override
  public Decision arrived(RequestHead requestHead, long nowNanos) {
    head = requestHead;
    return recorded(machine.arrived(requestHead, nowNanos), nowNanos);
  }

  @Override
  public boolean sending(int attempt, long nowNanos) {
    return machine.sending(attempt, nowNanos);
  }

  @Override
  public void bodySent(long nowNanos) {
    machine.bodySent(nowNanos);
  }

  @Override
  public Decision responseHead(int attempt, ResponseHead responseHead, long nowNanos) {
    return recorded(machine.responseHead(attempt, responseHead, nowNanos), nowNanos);
  }

  @Override
  public Decision responseEnd(int attempt, long nowNanos) {
    return recorded(machine.responseEnd(attempt, nowNanos), nowNanos);
  }

  @Override
  public Decision connectionFailed(int attempt, ConnectionFault fault, long nowNanos) {
    return recorded(machine.connectionFailed(attempt, fault, nowNanos), nowNanos);
  }

  @Override
  public Decision timer(long nowNanos) {
    return recorded(machine.timer(nowNanos), nowNanos);
  }

  @Override
  public Decision cancelled(long nowNanos) {
    return recorded(machine.cancelled(nowNanos), nowNanos);
  }

  @Override
  public long nextTimerNanos() {
    return machine.nextTimerNanos();
  }

  private Decision recorded(Decision decision, long nowNanos) {
    RequestHead request = head;
    if (request != null) {
      log.add(request, decision, nowNanos);
    }
    return decision;
  }
}
