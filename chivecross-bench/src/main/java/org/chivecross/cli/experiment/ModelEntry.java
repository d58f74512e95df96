package org.chivecross.cli.experiment;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.limit.AdmissionControl;
import org.chivecross.logic.request.RequestPolicies;
import org.chivecross.logic.retry.RetryControl;
import org.chivecross.model.fileset.RequestClass;

/** One entry of the model: sends reads through the real policies. Not thread-safe. */
final class ModelEntry {

  private static final int MOST_RETRIES = 3;
  private static final long DEADLINE_NANOS = 2_000_000_000L;

  private final ClusterModel cluster;
  private final String dataCentre;
  private final BalancerEngine engine;
  private final RequestPolicies policies;

  /** Creates an entry around an engine. */
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

  /** A request of a caller arrives. */
  void arrive(int service, double workNanos, RandomGenerator random) {
    long now = cluster.now();
    int row = engine.serviceRow("service-" + service).orElseThrow();
    AdmissionControl.Verdict verdict =
        policies.admission().admit(row, RequestClass.READ, now + DEADLINE_NANOS, now);
    if (verdict != AdmissionControl.Verdict.ADMITTED) {
      cluster.refused(service);
      return;
    }
    Request request = new Request(service, row, workNanos, random);
    request.send(TargetSelector.NONE);
    request.scheduleHedge();
  }

  /** One read from its arrival to its answer. */
  private final class Request {
    private final int service;
    private final int serviceRow;
    private final double workNanos;
    private final RandomGenerator random;
    private final long startNanos = cluster.now();
    private boolean over;
    private int retries;
    private Optional<Attempt> first = Optional.empty();
    private Optional<Attempt> second = Optional.empty();

    Request(int service, int serviceRow, double workNanos, RandomGenerator random) {
      this.service = service;
      this.serviceRow = serviceRow;
      this.workNanos = workNanos;
      this.random = random;
    }

    void send(int excluded) {
      long now = cluster.now();
      int target = cluster.omniscientTarget(service, excluded, engine);
      if (target == TargetSelector.NONE) {
        target = policies.selector().select(serviceRow, RequestClass.READ, excluded, now);
      }
      if (target == TargetSelector.NONE) {
        fail();
        return;
      }
      Attempt attempt = new Attempt(this, target, workNanos);
      if (first.isEmpty()) {
        first = Optional.of(attempt);
      } else {
        second = Optional.of(attempt);
      }
      attempt.start();
    }

    void scheduleHedge() {
      long delay = policies.retries().hedgeDelayNanos(serviceRow, RequestClass.READ);
      if (delay == RetryControl.NO_HEDGE) {
        return;
      }
      cluster.events().after(delay, this::hedge);
    }

    private void hedge() {
      if (over || first.isEmpty() || second.isPresent()) {
        return;
      }
      if (policies.retries().tryHedge(serviceRow, RequestClass.READ, 0, cluster.now())) {
        cluster.hedged();
        send(first.get().target);
      }
    }

    void answered(Attempt attempt, SlottedTarget.Answer answer) {
      if (answer.succeeded()) {
        succeed(attempt);
        return;
      }
      boolean other = first.isPresent() && second.isPresent();
      if (first.isPresent() && first.get() == attempt) {
        first = second;
      }
      second = Optional.empty();
      if (over || other) {
        return;
      }
      if (retries < MOST_RETRIES
          && policies.retries().tryRetry(serviceRow, RequestClass.READ, 0, cluster.now())) {
        retries++;
        long backoff = answer.notRun() ? 0 : policies.retries().backoffNanos(retries);
        cluster.events().after(backoff, () -> send(attempt.target));
        return;
      }
      fail();
    }

    private void succeed(Attempt attempt) {
      if (over) {
        return;
      }
      over = true;
      first.filter(one -> one != attempt).ifPresent(Attempt::cancel);
      second.filter(one -> one != attempt).ifPresent(Attempt::cancel);
      long now = cluster.now();
      policies.retries().succeeded(serviceRow, RequestClass.READ, now);
      policies.admission().release(serviceRow, RequestClass.READ, now);
      cluster.served(service, startNanos);
    }

    private void fail() {
      over = true;
      policies.admission().release(serviceRow, RequestClass.READ, cluster.now());
      cluster.failed(service, startNanos);
    }
  }

  /** One attempt of a request at one target. */
  private final class Attempt {
    private final Request request;
    private final int target;
    private final SlottedTarget slotted;
    private final SlottedTarget.Work work;
    private final long oneWayNanos;
    private final long startNanos = cluster.now();
    private boolean over;

    Attempt(Request request, int target, double workNanos) {
      this.request = request;
      this.target = target;
      String address = engine.address(target);
      slotted = cluster.target(address);
      oneWayNanos = cluster.oneWayNanos(dataCentre, address, request.random);
      work = new SlottedTarget.Work(workNanos, this::respond);
    }

    void start() {
      policies.observer().attemptStarted(target, startNanos);
      slotted.announce();
      cluster.sentTo(slotted);
      cluster.events().after(oneWayNanos, () -> slotted.arrive(work));
    }

    void cancel() {
      if (over) {
        return;
      }
      over = true;
      long now = cluster.now();
      policies.observer().attemptAbandoned(target, now - startNanos, now);
      cluster.events().after(oneWayNanos, () -> slotted.cancel(work));
    }

    private void respond(SlottedTarget.Answer answer) {
      cluster.events().after(oneWayNanos, () -> receive(answer));
    }

    private void receive(SlottedTarget.Answer answer) {
      if (over) {
        return;
      }
      over = true;
      long now = cluster.now();
      policies.observer().loadReported(target, answer.report(), now);
      if (answer.leaving()) {
        policies.observer().leavingReported(target, now);
      }
      policies.observer().attemptEnded(target, now - startNanos, answer.succeeded(), now);
      request.answered(this, answer);
    }
  }
}
