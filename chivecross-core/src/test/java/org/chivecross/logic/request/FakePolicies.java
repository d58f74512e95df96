package org.chivecross.logic.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.balance.UpstreamObserver;
import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.limit.AdmissionControl;
import org.chivecross.logic.retry.RetryControl;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.request.Outcome;

/** Configurable policies that count what a request machine takes and releases. */
public final class FakePolicies {

  public static final long BACKOFF_NANOS = 1_000_000;
  public static final long RETRY_AFTER_MILLIS = 40;

  public AdmissionControl.Verdict verdict = AdmissionControl.Verdict.ADMITTED;
  public KeyClaim claim = new KeyClaim.Run();
  public int targets = 2;
  public boolean retryAllowed = true;
  public int retriesLeft = 1000;
  public long hedgeDelayNanos = RetryControl.NO_HEDGE;
  public long firstByteTimeoutNanos = RetryControl.NO_HEDGE;
  public int admitted;
  public int released;
  public int started;
  public int ended;
  public int failed;
  public int nextTarget;
  public final List<String> finished = new ArrayList<>();
  public final List<ConnectionFault> faults = new ArrayList<>();

  /** Returns policies for paths {@code /read}, {@code /write} and {@code /upload}. */
  public RequestPolicies policies() {
    return policies(new FakeKeys());
  }

  public RequestPolicies policies(KeyRegistry keys) {
    return new RequestPolicies(
        (method, host, path) -> route(path),
        new FakeAdmission(),
        this::select,
        new CountingObserver(),
        new FakeRetries(),
        keys);
  }

  private static Optional<Route> route(String path) {
    for (RequestClass requestClass : RequestClass.values()) {
      if (path.equals("/" + requestClass.name().toLowerCase(java.util.Locale.ROOT))) {
        return Optional.of(new Route(0, requestClass, 1000));
      }
    }
    return Optional.empty();
  }

  private int select(int service, RequestClass requestClass, int excluded, long nowNanos) {
    if (targets == 0) {
      return TargetSelector.NONE;
    }
    int chosen = nextTarget % targets;
    if (chosen == excluded && targets > 1) {
      chosen = (chosen + 1) % targets;
    }
    return chosen;
  }

  private final class FakeAdmission implements AdmissionControl {
    @Override
    public Verdict admit(
        int service, RequestClass requestClass, long deadlineNanos, long nowNanos) {
      if (verdict == Verdict.ADMITTED) {
        admitted++;
      }
      return verdict;
    }

    @Override
    public void release(int service, RequestClass requestClass, long nowNanos) {
      released++;
    }

    @Override
    public long retryAfterMillis(int service, RequestClass requestClass, long nowNanos) {
      return RETRY_AFTER_MILLIS;
    }
  }

  private final class CountingObserver implements UpstreamObserver {
    @Override
    public void attemptStarted(int target, long nowNanos) {
      started++;
    }

    @Override
    public void attemptEnded(int target, long latencyNanos, boolean succeeded, long nowNanos) {
      ended++;
      failed += succeeded ? 0 : 1;
    }

    @Override
    public void attemptAbandoned(int target, long waitedNanos, long nowNanos) {
      ended++;
    }

    @Override
    public void connectionFailed(int target, ConnectionFault fault, long nowNanos) {
      faults.add(fault);
    }

    @Override
    public void loadReported(int target, LoadReport report, long nowNanos) {}

    @Override
    public void leavingReported(int target, long nowNanos) {}
  }

  private final class FakeRetries implements RetryControl {
    @Override
    public void succeeded(int service, RequestClass requestClass, long nowNanos) {}

    @Override
    public boolean tryRetry(int service, RequestClass requestClass, int depth, long nowNanos) {
      retriesLeft--;
      return retryAllowed && retriesLeft >= 0;
    }

    @Override
    public boolean tryHedge(int service, RequestClass requestClass, int depth, long nowNanos) {
      return retryAllowed;
    }

    @Override
    public long backoffNanos(int retry) {
      return BACKOFF_NANOS;
    }

    @Override
    public long hedgeDelayNanos(int service, RequestClass requestClass) {
      return hedgeDelayNanos;
    }

    @Override
    public long firstByteTimeoutNanos(int target, RequestClass requestClass) {
      return firstByteTimeoutNanos;
    }
  }

  private final class FakeKeys implements KeyRegistry {
    @Override
    public KeyClaim claim(String key, long nowNanos) {
      return claim;
    }

    @Override
    public void finish(String key, int status, Outcome outcome, long nowNanos) {
      finished.add(key + " " + status + " " + outcome.headerValue());
    }

    @Override
    public KeyClaim query(String key, long nowNanos) {
      return claim;
    }

    @Override
    public KeyClaim cancel(String key, long nowNanos) {
      return claim;
    }
  }
}
