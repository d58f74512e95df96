package org.chivecross.logic.session;

import org.chivecross.logic.request.RequestMachine;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;

/** A machine whose decisions a planted fault changes. */
class MachineMutant implements RequestMachine {

  private final RequestMachine inner;

  MachineMutant(RequestMachine inner) {
    this.inner = inner;
  }

  /** Returns the decision that the fault makes of a right one. */
  Decision change(Decision decision) {
    return decision;
  }

  @Override
  public Decision arrived(RequestHead head, long nowNanos) {
    return change(inner.arrived(head, nowNanos));
  }

  @Override
  public boolean sending(int attempt, long nowNanos) {
    return inner.sending(attempt, nowNanos);
  }

  @Override
  public void bodySent(long nowNanos) {
    inner.bodySent(nowNanos);
  }

  @Override
  public Decision responseHead(int attempt, ResponseHead head, long nowNanos) {
    return change(inner.responseHead(attempt, head, nowNanos));
  }

  @Override
  public Decision responseEnd(int attempt, long nowNanos) {
    return inner.responseEnd(attempt, nowNanos);
  }

  @Override
  public Decision connectionFailed(int attempt, ConnectionFault fault, long nowNanos) {
    return change(inner.connectionFailed(attempt, fault, nowNanos));
  }

  @Override
  public Decision timer(long nowNanos) {
    return change(inner.timer(nowNanos));
  }

  @Override
  public Decision cancelled(long nowNanos) {
    return change(inner.cancelled(nowNanos));
  }

  @Override
  public long nextTimerNanos() {
    return inner.nextTimerNanos();
  }

  @Override
  public String toString() {
    return inner.toString();
  }
}
