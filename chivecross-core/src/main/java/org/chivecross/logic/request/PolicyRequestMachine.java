package org.chivecross.logic.request;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.limit.AdmissionControl.Verdict;
import org.chivecross.logic.retry.RetryControl;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.ConnectionKind;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;

/**
 * State machine of one request that is decided by {@link RequestPolicies}; its states are the
 * {@link RequestState}s.
 *
 * <p>Invariants: each admission is released once; each started attempt ends exactly once; a claimed
 * key is finished once; a non-idempotent request is sent again only with a {@link NotRunProof};
 * nothing is sent after the deadline or after the outcome. Not thread-safe.
 */
final class PolicyRequestMachine implements RequestMachine {

  private static final long QUEUE_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int SERVER_ERROR = 500;

  private final RequestPolicies policies;
  private final AttemptTable attempts = new AttemptTable();
  private final Refusals refusals;
  private final RequestCompletion completion;
  private RequestState state = new RequestState.Arriving();
  private boolean bodySent;
  private int retries;

  PolicyRequestMachine(RequestPolicies policies) {
    this.policies = policies;
    completion = new RequestCompletion(policies, attempts);
    refusals = new Refusals(policies.admission());
  }

  @Override
  public Decision arrived(RequestHead head, long nowNanos) {
    if (!(state instanceof RequestState.Arriving)) {
      return new Decision.Finish();
    }
    Optional<Route> route = policies.router().route(head.method(), head.host(), head.path());
    Arrival arrival = new Arrival(policies.keys(), refusals);
    if (route.isEmpty()) {
      state = new RequestState.Done();
      return arrival.noRoute(head, notRunProof(), nowNanos);
    }
    Arrival.Step step = arrival.claim(route.get(), head, notRunProof(), nowNanos);
    if (step instanceof Arrival.Stop stop) {
      state = new RequestState.Done();
      return stop.decision();
    }
    return admit(((Arrival.Proceed) step).context(), nowNanos);
  }

  @Override
  public boolean sending(int attempt, long nowNanos) {
    if (!(state instanceof RequestState.Sending sending) || !attempts.isOpen(attempt)) {
      return false;
    }
    RequestContext context = sending.context();
    if (nowNanos >= context.deadlineNanos()) {
      return false;
    }
    long firstByteTimeoutNanos =
        policies.retries().firstByteTimeoutNanos(attempts.target(attempt), context.requestClass());
    boolean hasFirstByteTimeout =
        context.isIdempotent() && firstByteTimeoutNanos < context.deadlineNanos() - nowNanos;
    return attempts.markSending(
        attempt, hasFirstByteTimeout ? nowNanos + firstByteTimeoutNanos : AttemptTable.NEVER);
  }

  @Override
  public void bodySent(long nowNanos) {
    bodySent = true;
  }

  @Override
  public Decision responseHead(int attempt, ResponseHead head, long nowNanos) {
    if (!(state instanceof RequestState.Sending sending) || !attempts.isOpen(attempt)) {
      return await();
    }
    if (!attempts.isSent(attempt)) {
      // An answer before the request was sent belongs to another request.
      return connectionFailed(attempt, ConnectionFault.MALFORMED, nowNanos);
    }
    int target = attempts.target(attempt);
    head.load().ifPresent(load -> policies.observer().loadReported(target, load, nowNanos));
    if (head.leaving()) {
      policies.observer().leavingReported(target, nowNanos);
    }
    attempts.clearFirstByteTimeout(attempt);
    if (head.notRun() && head.status() == UNAVAILABLE) {
      attempts.markNotRun(attempt);
      return attemptFailed(sending, attempt, "shed by the target", nowNanos);
    }
    if (head.status() >= BAD_GATEWAY && head.status() <= GATEWAY_TIMEOUT) {
      Optional<Decision> next = replaceFailedRead(sending, attempt, nowNanos);
      if (next.isPresent()) {
        return next.get();
      }
    }
    RequestContext context = sending.context();
    completion.abandonOthers(attempt, nowNanos);
    state = new RequestState.Relaying(context, attempt, head.status(), nowNanos);
    return new Decision.Relay(attempt);
  }

  @Override
  public Decision responseEnd(int attempt, long nowNanos) {
    if (!(state instanceof RequestState.Relaying relaying) || relaying.attempt() != attempt) {
      return await();
    }
    RequestContext context = relaying.context();
    boolean succeeded = relaying.status() < SERVER_ERROR;
    if (succeeded) {
      policies.retries().succeeded(context.service(), context.requestClass(), nowNanos);
    }
    completion.finishRelaying(relaying, succeeded, nowNanos);
    state = new RequestState.Done();
    return new Decision.Finish();
  }

  @Override
  public Decision connectionFailed(int attempt, ConnectionFault fault, long nowNanos) {
    if (!attempts.isOpen(attempt)) {
      return await();
    }
    policies.observer().connectionFailed(attempts.target(attempt), fault, nowNanos);
    if (state instanceof RequestState.Relaying relaying) {
      return abort(relaying, "connection " + fault, nowNanos);
    }
    if (state instanceof RequestState.Sending sending) {
      if (fault == ConnectionFault.LOCAL) {
        completion.abandon(attempt, nowNanos);
      } else {
        completion.fail(attempt, nowNanos);
      }
      return afterFailure(sending, attempt, "connection " + fault, nowNanos);
    }
    return await();
  }

  @Override
  public Decision timer(long nowNanos) {
    if (state instanceof RequestState.Queued queued) {
      return admit(queued.context(), nowNanos);
    }
    if (state instanceof RequestState.Relaying relaying) {
      return nowNanos < relaying.context().deadlineNanos()
          ? await()
          : abort(relaying, "deadline passed", nowNanos);
    }
    if (!(state instanceof RequestState.Sending sending)) {
      return await();
    }
    if (nowNanos >= sending.context().deadlineNanos()) {
      return deadlinePassed(sending.context(), nowNanos);
    }
    if (nowNanos >= sending.retryAtNanos()) {
      state = withRetryAt(sending, AttemptTable.NEVER);
      return send(sending.context(), nowNanos);
    }
    int silent = attempts.overdueAttempt(nowNanos);
    if (silent >= 0) {
      return retryAfterSilence(sending, silent, nowNanos);
    }
    if (nowNanos >= sending.hedgeAtNanos()) {
      return hedge(sending, nowNanos);
    }
    return await();
  }

  @Override
  public Decision cancelled(long nowNanos) {
    if (state instanceof RequestState.Relaying relaying) {
      completion.finishRelaying(relaying, relaying.status() < SERVER_ERROR, nowNanos);
    } else if (state instanceof RequestState.Queued queued) {
      completion.finishKey(queued.context(), 0, refusals.outcomeOf(notRunProof()), nowNanos);
    } else if (state instanceof RequestState.Sending sending) {
      completion.abandonOthers(-1, nowNanos);
      completion.finish(sending.context(), 0, refusals.outcomeOf(notRunProof()), nowNanos);
    }
    state = new RequestState.Done();
    return new Decision.Finish();
  }

  @Override
  public long nextTimerNanos() {
    if (state instanceof RequestState.Queued queued) {
      return Math.min(queued.admitAgainAtNanos(), queued.context().deadlineNanos());
    }
    if (state instanceof RequestState.Relaying relaying) {
      return relaying.context().deadlineNanos();
    }
    if (state instanceof RequestState.Sending sending) {
      long planned = Math.min(sending.retryAtNanos(), sending.hedgeAtNanos());
      long next = Math.min(planned, attempts.nextFirstByteDueNanos());
      return Math.min(next, sending.context().deadlineNanos());
    }
    return AttemptTable.NEVER;
  }

  /** Returns the complete state on which later decisions depend. */
  @Override
  public String toString() {
    return state + " " + attempts + " retries " + retries + " body " + bodySent;
  }

  private Decision admit(RequestContext context, long nowNanos) {
    if (nowNanos >= context.deadlineNanos()) {
      return refuse(context, refusals.expired(notRunProof(), context, nowNanos), nowNanos);
    }
    Verdict verdict =
        policies
            .admission()
            .admit(context.service(), context.requestClass(), context.deadlineNanos(), nowNanos);
    if (verdict == Verdict.QUEUED) {
      state = new RequestState.Queued(context, nowNanos + QUEUE_POLL_NANOS);
      return await();
    }
    if (verdict != Verdict.ADMITTED) {
      return refuse(
          context, refusals.notAdmitted(notRunProof(), verdict, context, nowNanos), nowNanos);
    }
    long hedgeDelayNanos = RetryControl.NO_HEDGE;
    if (context.isIdempotent()) {
      hedgeDelayNanos =
          policies.retries().hedgeDelayNanos(context.service(), context.requestClass());
    }
    boolean mayHedge = hedgeDelayNanos < context.deadlineNanos() - nowNanos;
    state =
        new RequestState.Sending(
            context,
            AttemptTable.NEVER,
            mayHedge ? nowNanos + hedgeDelayNanos : AttemptTable.NEVER);
    return send(context, nowNanos);
  }

  /** Ends a request that was not admitted. */
  private Decision refuse(RequestContext context, Decision.Answer answer, long nowNanos) {
    completion.finishKey(context, 0, answer.outcome(), nowNanos);
    state = new RequestState.Done();
    return answer;
  }

  private Decision send(RequestContext context, long nowNanos) {
    int excluded =
        attempts.size() == 0 ? TargetSelector.NONE : attempts.target(attempts.size() - 1);
    int target =
        policies.selector().select(context.service(), context.requestClass(), excluded, nowNanos);
    if (target != TargetSelector.NONE) {
      return start(context, target, nowNanos);
    }
    if (attempts.hasOpen()) {
      return await();
    }
    return giveUp(
        context,
        UNAVAILABLE,
        new Failure(Step.SELECT_TARGET, Failure.LOCAL, "no target"),
        nowNanos);
  }

  private Decision start(RequestContext context, int target, long nowNanos) {
    boolean mayUseAnyIdleConnection = context.isIdempotent() && attempts.size() == 0;
    ConnectionKind kind =
        mayUseAnyIdleConnection ? ConnectionKind.ANY : ConnectionKind.RECENTLY_LIVE;
    int attempt = attempts.open(target, nowNanos);
    policies.observer().attemptStarted(target, nowNanos);
    return new Decision.Send(attempt, target, kind, context.deadlineNanos());
  }

  private Decision attemptFailed(
      RequestState.Sending sending, int attempt, String detail, long nowNanos) {
    completion.fail(attempt, nowNanos);
    return afterFailure(sending, attempt, detail, nowNanos);
  }

  private Decision afterFailure(
      RequestState.Sending sending, int attempt, String detail, long nowNanos) {
    if (attempts.hasOpen() || sending.retryAtNanos() != AttemptTable.NEVER) {
      return await();
    }
    RequestContext context = sending.context();
    if (mayResend(context) && scheduleRetry(sending, nowNanos)) {
      return await();
    }
    Step step = attempts.isSent(attempt) ? Step.AWAIT_RESPONSE : Step.CONNECT;
    String peer = refusals.peerPlaceholder(attempts.target(attempt));
    return giveUp(context, BAD_GATEWAY, new Failure(step, peer, detail), nowNanos);
  }

  /** Drops an error answer to a read when another attempt may still succeed. */
  private Optional<Decision> replaceFailedRead(
      RequestState.Sending sending, int attempt, long nowNanos) {
    if (!sending.context().isIdempotent()) {
      return Optional.empty();
    }
    boolean hasOtherAttempt =
        attempts.hasOpenBesides(attempt) || sending.retryAtNanos() != AttemptTable.NEVER;
    if (!hasOtherAttempt
        && !(mayReplaceAnswer(sending, nowNanos) && scheduleRetry(sending, nowNanos))) {
      return Optional.empty();
    }
    completion.fail(attempt, nowNanos);
    return Optional.of(await());
  }

  private boolean mayReplaceAnswer(RequestState.Sending sending, long nowNanos) {
    RequestContext context = sending.context();
    int depth = context.head().depth();
    return mayResend(context)
        && policies
            .retries()
            .mayRetryErrorAnswer(context.service(), context.requestClass(), depth, nowNanos);
  }

  private Decision retryAfterSilence(RequestState.Sending sending, int attempt, long nowNanos) {
    attempts.clearFirstByteTimeout(attempt);
    policies
        .observer()
        .connectionFailed(attempts.target(attempt), ConnectionFault.SILENT, nowNanos);
    RequestContext context = sending.context();
    boolean mayRetry = sending.retryAtNanos() == AttemptTable.NEVER && mayResend(context);
    return mayRetry && tryTakeRetry(context, nowNanos) ? send(context, nowNanos) : await();
  }

  private Decision hedge(RequestState.Sending sending, long nowNanos) {
    RequestContext context = sending.context();
    state = new RequestState.Sending(context, sending.retryAtNanos(), AttemptTable.NEVER);
    boolean mayHedge = attempts.hasOpen() && mayResend(context);
    int depth = context.head().depth();
    if (!mayHedge
        || !policies
            .retries()
            .tryHedge(context.service(), context.requestClass(), depth, nowNanos)) {
      return await();
    }
    return send(context, nowNanos);
  }

  /** Returns whether the request may be sent again without the risk of running it twice. */
  private boolean mayResend(RequestContext context) {
    if (bodySent || attempts.isFull()) {
      return false;
    }
    return context.isIdempotent() || NotRunProof.of(attempts).isPresent();
  }

  private boolean scheduleRetry(RequestState.Sending sending, long nowNanos) {
    RequestContext context = sending.context();
    long at = nowNanos + policies.retries().backoffNanos(retries);
    if (at >= context.deadlineNanos() || !tryTakeRetry(context, nowNanos)) {
      return false;
    }
    state = withRetryAt(sending, at);
    return true;
  }

  private boolean tryTakeRetry(RequestContext context, long nowNanos) {
    int depth = context.head().depth();
    if (!policies.retries().tryRetry(context.service(), context.requestClass(), depth, nowNanos)) {
      return false;
    }
    retries++;
    return true;
  }

  private Decision deadlinePassed(RequestContext context, long nowNanos) {
    completion.failAll(nowNanos);
    Decision.Answer answer = refusals.expired(notRunProof(), context, nowNanos);
    completion.finish(context, 0, answer.outcome(), nowNanos);
    state = new RequestState.Done();
    return answer;
  }

  private Decision giveUp(RequestContext context, int status, Failure failure, long nowNanos) {
    Decision.Answer answer =
        refusals.withRetryAfter(notRunProof(), status, failure, context, nowNanos);
    completion.finish(context, 0, answer.outcome(), nowNanos);
    state = new RequestState.Done();
    return answer;
  }

  private Decision abort(RequestState.Relaying relaying, String detail, long nowNanos) {
    String peer = refusals.peerPlaceholder(attempts.target(relaying.attempt()));
    completion.finishRelaying(relaying, false, nowNanos);
    state = new RequestState.Done();
    return new Decision.Abort(new Failure(Step.RELAY_RESPONSE, peer, detail));
  }

  private Optional<NotRunProof> notRunProof() {
    return NotRunProof.of(attempts);
  }

  private Decision await() {
    return state instanceof RequestState.Done
        ? new Decision.Finish()
        : new Decision.Await(nextTimerNanos());
  }

  private static RequestState.Sending withRetryAt(RequestState.Sending sending, long atNanos) {
    return new RequestState.Sending(sending.context(), atNanos, sending.hedgeAtNanos());
  }
}
