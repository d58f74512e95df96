package org.chivecross.logic.request;

import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;

/** Request machine that always returns the same decision. */
record FixedDecisionMachine(Decision decision) implements RequestMachine {

  @Override
  public Decision arrived(RequestHead head, long nowNanos) {
    return decision;
  }

  @Override
  public boolean sending(int attempt, long nowNanos) {
    return false;
  }

  @Override
  public void bodySent(long nowNanos) {}

  @Override
  public Decision responseHead(int attempt, ResponseHead head, long nowNanos) {
    return decision;
  }

  @Override
  public Decision responseEnd(int attempt, long nowNanos) {
    return decision;
  }

  @Override
  public Decision connectionFailed(int attempt, ConnectionFault fault, long nowNanos) {
    return decision;
  }

  @Override
  public Decision timer(long nowNanos) {
    return decision;
  }

  @Override
  public Decision cancelled(long nowNanos) {
    return decision;
  }

  @Override
  public long nextTimerNanos() {
    return 0;
  }
}
