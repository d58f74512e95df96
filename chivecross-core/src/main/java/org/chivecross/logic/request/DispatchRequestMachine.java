package org.chivecross.logic.request;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.dispatch.DispatchEvent;
import org.chivecross.logic.dispatch.DispatchJournal;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.dispatch.Placement;
import org.chivecross.logic.dispatch.PlacementTicket;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.ConnectionKind;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;
import org.chivecross.model.ruleset.RouteRule;
import org.jspecify.annotations.Nullable;

/**
 * Follows one request that a {@link Dispatcher} places.
 *
 * <p>Invariants: every started attempt is ended once; a non-idempotent request is sent again only
 * while a {@link NotRunProof} exists; nothing is sent after the request was answered. Not
 * thread-safe.
 */
final class DispatchRequestMachine implements RequestMachine {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int NOT_FOUND = 404;
  private static final int SERVER_ERROR = 500;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  /** Deadline of a request that states none and whose route is not known. */
  private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

  /** Advice to come back while an entry that has just started learns its configuration. */
  private static final long STARTING_RETRY_AFTER_MILLIS = 250;

  /** Expected times after which a read without an answer is sent to a second target. */
  private static final double OVERDUE_FACTOR = 1.8;

  /** Part of the latency objective before which no read is sent to a second target. */
  private static final double OVERDUE_OBJECTIVE_PART = 0.5;

  /** How far a request has come. */
  private enum Phase {
    ARRIVING,
    ACTIVE,
    RELAYING,
    DONE
  }

  private final Dispatcher dispatcher;
  private final DispatchJournal journal;
  private final Runnable wake;
  private final AttemptTable attempts = new AttemptTable();
  private final boolean[] usualPace = new boolean[AttemptTable.CAPACITY];
  private Phase phase = Phase.ARRIVING;
  private @Nullable PlacementTicket ticket;
  private boolean seeking;
  private long seekAtNanos = AttemptTable.NEVER;
  private long overdueNanos = AttemptTable.NEVER;
  private long giveUpNanos = AttemptTable.NEVER;
  private int relayedAttempt;
  private String requestId = "";
  private long arrivedNanos;

  DispatchRequestMachine(Dispatcher dispatcher, DispatchJournal journal, Runnable wake) {
    this.dispatcher = dispatcher;
    this.journal = journal;
    this.wake = wake;
  }

  @Override
  public Decision arrived(RequestHead head, long nowNanos) {
    if (phase != Phase.ARRIVING) {
      return new Decision.Finish();
    }
    requestId = head.requestId();
    arrivedNanos = nowNanos;
    if (!dispatcher.hasRules() || !dispatcher.hasTargets()) {
      return answer(UNAVAILABLE, "no configuration yet", STARTING_RETRY_AFTER_MILLIS, nowNanos);
    }
    Optional<RouteRule> route = dispatcher.route(head.host(), head.path());
    if (route.isEmpty()) {
      return answer(NOT_FOUND, "no route for " + head.path(), 0, nowNanos);
    }
    long wanted = head.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS);
    long patience = Math.min(wanted, route.get().timeoutMillis());
    giveUpNanos = nowNanos + patience * NANOS_PER_MILLI;
    phase = Phase.ACTIVE;
    ticket = dispatcher.open(route.get(), giveUpNanos, head.bodyBytes(), wake, nowNanos);
    seeking = true;
    return seek(ticket, nowNanos);
  }

  @Override
  public boolean sending(int attempt, long nowNanos) {
    return phase == Phase.ACTIVE
        && nowNanos < giveUpNanos
        && attempts.markSending(attempt, AttemptTable.NEVER);
  }

  @Override
  public void bodySent(long nowNanos) {
    // Bodies are kept whole, so nothing is lost when a part has left.
  }

  @Override
  public Decision responseHead(int attempt, ResponseHead head, long nowNanos) {
    PlacementTicket current = ticket;
    if (phase != Phase.ACTIVE || current == null || !attempts.isOpen(attempt)) {
      return await();
    }
    int target = attempts.target(attempt);
    head.load().ifPresent(load -> dispatcher.loadReported(target, load, nowNanos));
    if (head.notRun()) {
      attempts.markNotRun(attempt);
      attempts.close(attempt);
      dispatcher.failed(target, nowNanos);
      return replace(current, "turned away by the target", target, nowNanos);
    }
    if (head.status() >= SERVER_ERROR && current.route().isIdempotent()) {
      attempts.close(attempt);
      dispatcher.failed(target, nowNanos);
      if (attempts.hasOpen() || mayRepeat(current, nowNanos)) {
        return replace(current, "status " + head.status(), target, nowNanos);
      }
      return relay(attempt);
    }
    attempts.close(attempt);
    if (head.status() < SERVER_ERROR) {
      long elapsed = nowNanos - attempts.startedNanos(attempt);
      dispatcher.served(current, target, elapsed, usualPace[attempt], nowNanos);
    } else {
      dispatcher.failed(target, nowNanos);
    }
    if (head.status() == UNAVAILABLE) {
      // Without proof that it did not run, the status would promise too much.
      Failure unproved =
          new Failure(
              Step.AWAIT_RESPONSE, peer(target), "refusal without proof that it did not run");
      return giveUp(unproved, 0, nowNanos);
    }
    recordIfLate(current, attempt, head.status(), nowNanos);
    return relay(attempt);
  }

  @Override
  public Decision responseEnd(int attempt, long nowNanos) {
    phase = Phase.DONE;
    return new Decision.Finish();
  }

  @Override
  public Decision connectionFailed(int attempt, ConnectionFault fault, long nowNanos) {
    PlacementTicket current = ticket;
    if (phase == Phase.RELAYING && attempt == relayedAttempt && current != null) {
      phase = Phase.DONE;
      int target = attempts.target(attempt);
      return new Decision.Abort(
          new Failure(Step.RELAY_RESPONSE, peer(target), "connection " + fault));
    }
    if (phase != Phase.ACTIVE || current == null || !attempts.isOpen(attempt)) {
      return await();
    }
    attempts.close(attempt);
    int target = attempts.target(attempt);
    dispatcher.failed(target, nowNanos);
    return replace(current, "connection " + fault, target, nowNanos);
  }

  @Override
  public Decision timer(long nowNanos) {
    PlacementTicket current = ticket;
    if (phase == Phase.RELAYING || current == null || phase == Phase.DONE) {
      return await();
    }
    if (nowNanos >= giveUpNanos) {
      return timedOut(nowNanos);
    }
    if (nowNanos >= overdueNanos) {
      overdueNanos = AttemptTable.NEVER;
      boolean wanted = !seeking && attempts.hasOpen() && mayRepeat(current, nowNanos);
      if (wanted && dispatcher.tryRepeat(current, nowNanos)) {
        dispatcher.seekAgain(current, nowNanos);
        seeking = true;
      }
    }
    return seeking ? seek(current, nowNanos) : await();
  }

  @Override
  public Decision cancelled(long nowNanos) {
    abandonAll();
    phase = Phase.DONE;
    return new Decision.Finish();
  }

  @Override
  public long nextTimerNanos() {
    if (phase != Phase.ACTIVE) {
      return AttemptTable.NEVER;
    }
    return Math.min(giveUpNanos, Math.min(seekAtNanos, overdueNanos));
  }

  private Decision seek(PlacementTicket current, long nowNanos) {
    seekAtNanos = AttemptTable.NEVER;
    Placement placement = dispatcher.seek(current, nowNanos);
    if (placement instanceof Placement.Pending pending) {
      seekAtNanos = pending.wakeNanos();
      return await();
    }
    seeking = false;
    if (placement instanceof Placement.Chosen chosen) {
      return send(current, chosen.target(), nowNanos);
    }
    if (attempts.hasOpen()) {
      return await();
    }
    Placement.Refused refused = (Placement.Refused) placement;
    return giveUp(refused.failure(), refused.retryAfterMillis(), nowNanos);
  }

  private Decision send(PlacementTicket current, int target, long nowNanos) {
    int attempt = attempts.open(target, nowNanos);
    usualPace[attempt] = dispatcher.isUsualPace(target, nowNanos);
    if (current.route().isIdempotent()) {
      double millis =
          Math.max(
              OVERDUE_FACTOR * dispatcher.expectedMillis(current, target, nowNanos),
              OVERDUE_OBJECTIVE_PART * current.route().latencyObjectiveMillis());
      overdueNanos = nowNanos + (long) (millis * NANOS_PER_MILLI);
    }
    DispatchEvent.TargetFacts facts = dispatcher.facts(target, nowNanos);
    long expected = Math.round(dispatcher.expectedMillis(current, target, nowNanos));
    journal.record(
        requestId,
        new DispatchEvent.Sent(attempt, facts, expected, dispatcher.usableTargets(current)));
    dispatcher.started(target);
    return new Decision.Send(attempt, target, ConnectionKind.RECENTLY_LIVE, giveUpNanos);
  }

  private Decision relay(int attempt) {
    abandonAll();
    phase = Phase.RELAYING;
    relayedAttempt = attempt;
    return new Decision.Relay(attempt);
  }

  /** Looks for another target after an attempt failed, or ends the request. */
  private Decision replace(PlacementTicket current, String detail, int target, long nowNanos) {
    int last = attempts.size() - 1;
    boolean mayHaveRun = NotRunProof.of(attempts).isEmpty();
    journal.record(
        requestId,
        new DispatchEvent.AttemptFailed(
            last, dispatcher.facts(target, nowNanos), detail, mayHaveRun));
    if (attempts.hasOpen() || seeking) {
      return await();
    }
    boolean allowed = mayRepeat(current, nowNanos);
    boolean free = attempts.nothingSent();
    if (allowed && (free || dispatcher.tryRepeat(current, nowNanos))) {
      dispatcher.seekAgain(current, nowNanos);
      seeking = true;
      return seek(current, nowNanos);
    }
    return giveUp(
        new Failure(Step.AWAIT_RESPONSE, peer(target), detail),
        dispatcher.retryAfterMillis(current, nowNanos),
        nowNanos);
  }

  private boolean mayRepeat(PlacementTicket current, long nowNanos) {
    if (attempts.isFull() || nowNanos >= giveUpNanos) {
      return false;
    }
    int sent = 0;
    for (int i = 0; i < attempts.size(); i++) {
      sent += attempts.isSent(i) ? 1 : 0;
    }
    if (sent >= current.route().maxAttempts()) {
      return false;
    }
    return current.route().isIdempotent() || NotRunProof.of(attempts).isPresent();
  }

  private Decision timedOut(long nowNanos) {
    for (int i = 0; i < attempts.size(); i++) {
      if (attempts.isOpen(i)) {
        attempts.close(i);
        dispatcher.failed(attempts.target(i), nowNanos);
      }
    }
    return giveUp(
        new Failure(Step.AWAIT_RESPONSE, Failure.LOCAL, "time-out of the route or the caller"),
        STARTING_RETRY_AFTER_MILLIS,
        nowNanos);
  }

  /** Ends the request: refused when it surely has not run, otherwise with an unknown outcome. */
  private Decision giveUp(Failure failure, long retryAfterMillis, long nowNanos) {
    abandonAll();
    phase = Phase.DONE;
    Optional<NotRunProof> proof = NotRunProof.of(attempts);
    if (proof.isPresent()) {
      record(UNAVAILABLE, failure, retryAfterMillis, nowNanos);
      return new Decision.Answer(
          UNAVAILABLE, proof.get().outcome(), failure, OptionalLong.of(retryAfterMillis));
    }
    int status = failure.peer().equals(Failure.LOCAL) ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    record(status, failure, 0, nowNanos);
    return new Decision.Answer(status, Outcome.UNKNOWN, failure, OptionalLong.empty());
  }

  /** Answers a request that was not given to the dispatcher. */
  private Decision answer(int status, String detail, long retryAfterMillis, long nowNanos) {
    abandonAll();
    phase = Phase.DONE;
    Outcome outcome = NotRunProof.of(attempts).map(NotRunProof::outcome).orElse(Outcome.UNKNOWN);
    Failure failure = new Failure(Step.ROUTE, Failure.LOCAL, detail);
    record(status, failure, retryAfterMillis, nowNanos);
    return new Decision.Answer(
        status,
        outcome,
        failure,
        retryAfterMillis > 0 ? OptionalLong.of(retryAfterMillis) : OptionalLong.empty());
  }

  private void record(int status, Failure failure, long retryAfterMillis, long nowNanos) {
    long waited = (nowNanos - arrivedNanos) / NANOS_PER_MILLI;
    journal.record(
        requestId, new DispatchEvent.Answered(status, failure, retryAfterMillis, waited));
  }

  private void recordIfLate(PlacementTicket current, int attempt, int status, long nowNanos) {
    long total = (nowNanos - arrivedNanos) / NANOS_PER_MILLI;
    long objective = current.route().latencyObjectiveMillis();
    if (total > objective) {
      long atTarget = (nowNanos - attempts.startedNanos(attempt)) / NANOS_PER_MILLI;
      DispatchEvent.TargetFacts facts = dispatcher.facts(attempts.target(attempt), nowNanos);
      journal.record(
          requestId,
          new DispatchEvent.AnsweredLate(attempt, facts, status, atTarget, total, objective));
    }
  }

  private void abandonAll() {
    for (int i = 0; i < attempts.size(); i++) {
      if (attempts.isOpen(i)) {
        attempts.close(i);
        dispatcher.abandoned(attempts.target(i));
      }
    }
  }

  private String peer(int target) {
    return "target " + target;
  }

  private Decision await() {
    return phase == Phase.DONE ? new Decision.Finish() : new Decision.Await(nextTimerNanos());
  }
}
