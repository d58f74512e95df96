package org.chivecross.logic.session;

import org.chivecross.logic.balance.UpstreamObserver;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.limit.AdmissionControl;
import org.chivecross.logic.request.RequestPolicies;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.LoadReport;

/** Counts admissions and attempts, to detect requests that don't release them. */
final class PolicyAudit {

  private int unreleasedAdmissions;
  private int openAttempts;

  RequestPolicies wrap(RequestPolicies policies, KeyRegistry keys) {
    return new RequestPolicies(
        policies.router(),
        new CountingAdmission(policies.admission()),
        policies.selector(),
        new CountingObserver(policies.observer()),
        policies.retries(),
        keys);
  }

  /** Returns the number of admissions not released yet. */
  int unreleasedAdmissions() {
    return unreleasedAdmissions;
  }

  /** Returns the number of attempts that have not ended yet. */
  int openAttempts() {
    return openAttempts;
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
        unreleasedAdmissions++;
      }
      return verdict;
    }

    @Override
    public void release(int service, RequestClass requestClass, long nowNanos) {
      unreleasedAdmissions--;
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
      openAttempts++;
      inner.attemptStarted(target, nowNanos);
    }

    @Override
    public void attemptEnded(int target, long latencyNanos, boolean succeeded, long nowNanos) {
      openAttempts--;
      inner.attemptEnded(target, latencyNanos, succeeded, nowNanos);
    }

    @Override
    public void attemptAbandoned(int target, long waitedNanos, long nowNanos) {
      openAttempts--;
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
