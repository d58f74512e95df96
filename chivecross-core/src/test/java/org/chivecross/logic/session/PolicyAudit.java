package org.chivecross.logic.session;

import org.chivecross.logic.balance.UpstreamObserver;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.limit.AdmissionControl;
import org.chivecross.logic.request.RequestPolicies;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.LoadReport;

/** Counts what requests take from their policies and give back. */
final class PolicyAudit {

  private int held;
  private int inFlight;

  RequestPolicies wrap(RequestPolicies policies, KeyRegistry keys) {
    return new RequestPolicies(
        policies.router(),
        new CountingAdmission(policies.admission()),
        policies.selector(),
        new CountingObserver(policies.observer()),
        policies.retries(),
        keys);
  }

  /** Returns admissions not yet released. */
  int held() {
    return held;
  }

  /** Returns attempts started and not yet ended. */
  int inFlight() {
    return inFlight;
  }

  private final class CountingAdmission implements AdmissionControl {
    private final AdmissionControl inner;

    CountingAdmission(AdmissionControl inner) {
      this.inner = inner;
    }

    @Override
    public Verdict admit(
        int service, RequestClass requestClass, long deadlineNanos, long nowNanos) {
      Verdict verdict = inner.admit(service, requestClass, deadlineNanos, nowNanos);
      if (verdict == Verdict.ADMITTED) {
        held++;
      }
      return verdict;
    }

    @Override
    public void release(int service, RequestClass requestClass, long nowNanos) {
      held--;
      inner.release(service, requestClass, nowNanos);
    }

    @Override
    public long retryAfterMillis(int service, RequestClass requestClass, long nowNanos) {
      return inner.retryAfterMillis(service, requestClass, nowNanos);
    }
  }

  private final class CountingObserver implements UpstreamObserver {
    private final UpstreamObserver inner;

    CountingObserver(UpstreamObserver inner) {
      this.inner = inner;
    }

    @Override
    public void attemptStarted(int target, long nowNanos) {
      inFlight++;
      inner.attemptStarted(target, nowNanos);
    }

    @Override
    public void attemptEnded(int target, long latencyNanos, boolean succeeded, long nowNanos) {
      inFlight--;
      inner.attemptEnded(target, latencyNanos, succeeded, nowNanos);
    }

    @Override
    public void attemptAbandoned(int target, long waitedNanos, long nowNanos) {
      inFlight--;
      inner.attemptAbandoned(target, waitedNanos, nowNanos);
    }

    @Override
    public void connectionFailed(int target, ConnectionFault fault, long nowNanos) {
      inner.connectionFailed(target, fault, nowNanos);
    }

    @Override
    public void loadReported(int target, LoadReport report, long nowNanos) {
      inner.loadReported(target, report, nowNanos);
    }

    @Override
    public void leavingReported(int target, long nowNanos) {
      inner.leavingReported(target, nowNanos);
    }
  }
}
