package org.chivecross.cli.experiment;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.limit.AdmissionControl;
import org.chivecross.logic.request.RequestPolicies;
import org.chivecross.logic.retry.RetryControl;
import org.chivecross.model.fileset.RequestClass;

/**
 * An entry of a {@link ClusterModel} that handles read requests with the real policies of a {@link
 * BalancerEngine}. Not thread-safe.
 */
final class ModelEntry {

  private static final int MAX_RETRIES = 3;
  private static final long DEADLINE_NANOS = 2_000_000_000L;

  private final ClusterModel cluster;
  private final String dataCentre;
  private final BalancerEngine engine;
  private final RequestPolicies policies;

  /** Creates an entry that decides with the given engine. */
  ModelEntry(ClusterModel cluster, String dataCentre, BalancerEngine engine) {
    this.cluster = cluster;
    this.dataCentre = dataCentre;
    this.engine = engine;
    policies = engine.policies(new NoKeys());
  }

  String dataCentre() {
    return dataCentre;
  }

  BalancerEngine engine() {
    return engine;
  }

  /** Admits a request of a caller and sends it to a target, or reports it as refused. */
  void arrive(int service, double workNanos, RandomGenerator random) {
    long now = cluster.now();
    int row = engine.serviceRow("service-" + service).orElseThrow();
    AdmissionControl.Verdict verdict =
        policies.admission().admit(row, RequestClass.READ, now + DEADLINE_NANOS, now);
    if (verdict != AdmissionControl.Verdict.ADMITTED) {
      cluster.requestRefused(service);
      return;
    }
    Request request = new Request(service, row, workNanos, random);
    request.send(TargetSelector.NONE);
    request.scheduleHedge();
  }

  /** A read request from its arrival to its response or failure. */
  private final class Request {
    private final int service;
    private final int serviceRow;
    private final double workNanos;
    private final RandomGenerator random;
    private final long startNanos = cluster.now();
    private boolean isFinished;
    private int retries;
    private Optional<Attempt> firstAttempt = Optional.empty();
    private Optional<Attempt> secondAttempt = Optional.empty();

    Request(int service, int serviceRow, double workNanos, RandomGenerator random) {
      this.service = service;
      this.serviceRow = serviceRow;
      this.workNanos = workNanos;
      this.random = random;
    }

    void send(int excluded) {
      long now = cluster.now();
      int targetRow = cluster.omniscientTarget(service, excluded, engine);
      if (targetRow == TargetSelector.NONE) {
        targetRow = policies.selector().select(serviceRow, RequestClass.READ, excluded, now);
      }
      if (targetRow == TargetSelector.NONE) {
        fail();
        return;
      }
      Attempt attempt = new Attempt(this, targetRow, workNanos);
      if (firstAttempt.isEmpty()) {
        firstAttempt = Optional.of(attempt);
      } else {
        secondAttempt = Optional.of(attempt);
      }
      attempt.start();
    }

    void scheduleHedge() {
      long delayNanos = policies.retries().hedgeDelayNanos(serviceRow, RequestClass.READ);
      if (delayNanos == RetryControl.NO_HEDGE) {
        return;
      }
      cluster.events().after(delayNanos, this::hedge);
    }

    private void hedge() {
      if (isFinished || firstAttempt.isEmpty() || secondAttempt.isPresent()) {
        return;
      }
      if (policies.retries().tryHedge(serviceRow, RequestClass.READ, 0, cluster.now())) {
        cluster.hedgeSent();
        send(firstAttempt.get().targetRow);
      }
    }

    void attemptAnswered(Attempt attempt, SlottedTarget.Answer answer) {
      if (answer.succeeded()) {
        succeed(attempt);
        return;
      }
      boolean otherIsPending = firstAttempt.isPresent() && secondAttempt.isPresent();
      if (firstAttempt.isPresent() && firstAttempt.get() == attempt) {
        firstAttempt = secondAttempt;
      }
      secondAttempt = Optional.empty();
      if (isFinished || otherIsPending) {
        return;
      }
      if (retries < MAX_RETRIES
          && policies.retries().tryRetry(serviceRow, RequestClass.READ, 0, cluster.now())) {
        retries++;
        long backoffNanos = answer.notRun() ? 0 : policies.retries().backoffNanos(retries);
        cluster.events().after(backoffNanos, () -> send(attempt.targetRow));
        return;
      }
      fail();
    }

    private void succeed(Attempt attempt) {
      if (isFinished) {
        return;
      }
      isFinished = true;
      firstAttempt.filter(other -> other != attempt).ifPresent(Attempt::cancel);
      secondAttempt.filter(other -> other != attempt).ifPresent(Attempt::cancel);
      long now = cluster.now();
      policies.retries().succeeded(serviceRow, RequestClass.READ, now);
      policies.admission().release(serviceRow, RequestClass.READ, now);
      cluster.requestServed(service, startNanos);
    }

    private void fail() {
      isFinished = true;
      policies.admission().release(serviceRow, RequestClass.READ, cluster.now());
      cluster.requestFailed(service, startNanos);
    }
  }

  /** An attempt of a request at one target. */
  private final class Attempt {
    private final Request request;
    private final int targetRow;
    private final SlottedTarget slottedTarget;
    private final SlottedTarget.Work work;
    private final long oneWayNanos;
    private final long startNanos = cluster.now();
    private boolean isFinished;

    Attempt(Request request, int targetRow, double workNanos) {
      this.request = request;
      this.targetRow = targetRow;
      String address = engine.address(targetRow);
      slottedTarget = cluster.target(address);
      oneWayNanos = cluster.oneWayNanos(dataCentre, address, request.random);
      work = new SlottedTarget.Work(workNanos, this::respond);
    }

    void start() {
      policies.observer().attemptStarted(targetRow, startNanos);
      slottedTarget.requestSent();
      cluster.attemptSent(slottedTarget);
      cluster.events().after(oneWayNanos, () -> slottedTarget.arrive(work));
    }

    void cancel() {
      if (isFinished) {
        return;
      }
      isFinished = true;
      long now = cluster.now();
      policies.observer().attemptAbandoned(targetRow, now - startNanos, now);
      cluster.events().after(oneWayNanos, () -> slottedTarget.cancel(work));
    }

    private void respond(SlottedTarget.Answer answer) {
      cluster.events().after(oneWayNanos, () -> receive(answer));
    }

    private void receive(SlottedTarget.Answer answer) {
      if (isFinished) {
        return;
      }
      isFinished = true;
      long now = cluster.now();
      policies.observer().loadReported(targetRow, answer.report(), now);
      if (answer.leaving()) {
        policies.observer().leavingReported(targetRow, now);
      }
      policies.observer().attemptEnded(targetRow, now - startNanos, answer.succeeded(), now);
      request.attemptAnswered(this, answer);
    }
  }
}
