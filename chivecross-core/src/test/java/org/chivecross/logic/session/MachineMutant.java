package org.chivecross.logic.session;

import org.chivecross.logic.request.RequestMachine;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;

/** Request machine with an injected fault that changes its decisions. */
class MachineMutant implements RequestMachine {

  private final RequestMachine inner;

  MachineMutant(RequestMachine inner) {
    this.inner = inner;
  }

  /** Returns the faulty decision that replaces a correct one. */
  Decision mutate(Decision decision) {
    return decision;
  }

  @Override
  public Decision arrived(RequestHead head, long nowNanos) {
    return mutate(inner.arrived(head, nowNanos));
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
    return mutate(inner.responseHead(attempt, head, nowNanos));
  }

  @Override
  public Decision responseEnd(int attempt, long nowNanos) {
    return inner.responseEnd(attempt, nowNanos);
  }

  @Override
  public Decision connectionFailed(int attempt, ConnectionFault fault, long nowNanos) {
    return mutate(inner.connectionFailed(attempt, fault, nowNanos));
  }

  @Override
  public Decision timer(long nowNanos) {
    return mutate(inner.timer(nowNanos));
  }

  @Override
  public Decision cancelled(long nowNanos) {
    return mutate(inner.cancelled(nowNanos));
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
