package org.chivecross.logic.request;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.dispatch.DispatchJournal;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.dispatch.Placement;
import org.chivecross.logic.dispatch.PlacementTicket;
import org.chivecross.logic.dispatch.RequestForwarding;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.ConnectionKind;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.ForwardedBy;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;
import org.chivecross.model.ruleset.RouteRule;
import org.jspecify.annotations.Nullable;

/**
 * State machine of one request whose targets are chosen by a {@link Dispatcher}. An attempt goes to
 * a target or, while this entry reaches none, to another entry.
 *
 * <p>Invariants: each started attempt ends exactly once; a non-idempotent request is sent again
 * only with a {@link NotRunProof}; nothing is sent after the request was answered. Not thread-safe.
 */
final class DispatchRequestMachine implements RequestMachine {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int NOT_FOUND = 404;
  private static final int SERVER_ERROR = 500;
  private static final int MISDIRECTED = 421;
  private static final int UNAVAILABLE = 503;

  /** Statuses that promise the caller that its request did not run and never will. */
  private static final Set<Integer> REFUSALS = Set.of(408, MISDIRECTED, 429, UNAVAILABLE);

  /** Deadline of a request that states none, before the timeout of its route is applied. */
  private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

  /** Retry delay advised by an entry that has not yet received its configuration. */
  private static final long STARTING_RETRY_AFTER_MILLIS = 250;

  /** Time after the deadline of the caller at which a response that is being relayed is cut. */
  private static final long RELAY_MARGIN_NANOS = 1_000 * NANOS_PER_MILLI;

  /** Progress of a request. */
  private enum Phase {
    ARRIVING,
    ACTIVE,
    RELAYING,
    DONE
  }

  private final Dispatcher dispatcher;
  private final RequestRecorder recorder;
  private final Runnable scheduleTimer;
  private final AttemptTable attempts = new AttemptTable();
  private final RequestAnswers answers;
  private final AttemptEnds ends;
  private final boolean[] atNominalSpeed = new boolean[AttemptTable.CAPACITY];
  private Phase phase = Phase.ARRIVING;
  private @Nullable PlacementTicket ticket;
  private boolean isPlacing;
  private boolean isForwardedHere;
  private int earlierAttempts;
  private long placeAtNanos = AttemptTable.NEVER;
  private long hedgeAtNanos = AttemptTable.NEVER;
  private long deadlineNanos = AttemptTable.NEVER;
  private long relayDeadlineNanos = AttemptTable.NEVER;
  private int relayedAttempt;

  DispatchRequestMachine(Dispatcher dispatcher, DispatchJournal journal, Runnable scheduleTimer) {
    this.dispatcher = dispatcher;
    recorder = new RequestRecorder(dispatcher, journal);
    answers = new RequestAnswers(attempts, recorder);
    ends = new AttemptEnds(dispatcher, attempts);
    this.scheduleTimer = scheduleTimer;
  }

  @Override
  public Decision arrived(RequestHead head, long nowNanos) {
    if (phase != Phase.ARRIVING) {
      return new Decision.Finish();
    }
    recorder.arrived(head.requestId(), nowNanos);
    ends.arrived(head.fingerprint());
    isForwardedHere = head.forwardedBy().isPresent();
    earlierAttempts = head.forwardedBy().map(ForwardedBy::earlierAttempts).orElse(0);
    long requiredVersion = head.forwardedBy().map(ForwardedBy::rulesVersion).orElse(0L);
    if (requiredVersion > dispatcher.rulesVersion()
        || (isForwardedHere && !dispatcher.hasTargets())) {
      return answer(MISDIRECTED, "configuration is older than at the other entry", 0, nowNanos);
    }
    if (!dispatcher.hasRules() || !dispatcher.hasTargets()) {
      return answer(UNAVAILABLE, "no configuration yet", STARTING_RETRY_AFTER_MILLIS, nowNanos);
    }
    Optional<RouteRule> route = dispatcher.route(head.host(), head.path());
    if (route.isEmpty()) {
      return answer(NOT_FOUND, "no route for " + head.path(), 0, nowNanos);
    }
    long requestedMillis = head.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS);
    long timeoutMillis = Math.min(requestedMillis, route.get().timeoutMillis());
    deadlineNanos = nowNanos + timeoutMillis * NANOS_PER_MILLI;
    relayDeadlineNanos = nowNanos + requestedMillis * NANOS_PER_MILLI + RELAY_MARGIN_NANOS;
    phase = Phase.ACTIVE;
    ticket = dispatcher.open(route.get(), deadlineNanos, head.bodyBytes(), scheduleTimer, nowNanos);
    if (isForwardedHere) {
      ticket.forbidForwarding();
    }
    isPlacing = true;
    return place(ticket, nowNanos);
  }

  @Override
  public boolean sending(int attempt, long nowNanos) {
    PlacementTicket current = ticket;
    if (phase != Phase.ACTIVE || current == null || nowNanos >= deadlineNanos) {
      return false;
    }
    if (attempts.isOpen(attempt) && !dispatcher.stop().maySend(current, nowNanos)) {
      ends.abandon(attempt);
      // The next placement refuses the request.
      isPlacing = true;
      return false;
    }
    return attempts.markSending(attempt, AttemptTable.NEVER);
  }

  @Override
  public void bodySent(long nowNanos) {
    // The entry keeps the complete body, so it can be sent again at any time.
  }

  @Override
  public Decision responseHead(int attempt, ResponseHead head, long nowNanos) {
    PlacementTicket current = ticket;
    if (phase != Phase.ACTIVE || current == null || !attempts.isOpen(attempt)) {
      return await();
    }
    int target = attempts.target(attempt);
    if (RequestForwarding.isEntry(target)) {
      return forwardedResponse(current, attempt, head, nowNanos);
    }
    dispatcher.forwarding().targetResponded(target, nowNanos);
    announced(attempt, head, nowNanos);
    head.load().ifPresent(load -> dispatcher.loadReported(target, load, nowNanos));
    if (head.notRun()) {
      attempts.markNotRun(attempt);
      attempts.close(attempt);
      dispatcher.turnedAway(target, nowNanos);
      return attemptFailed(current, "turned away by the target", target, nowNanos);
    }
    dispatcher.crashes().completed(ends.fingerprint(), nowNanos);
    if (head.status() >= SERVER_ERROR && current.route().isIdempotent()) {
      attempts.close(attempt);
      dispatcher.failed(target, nowNanos);
      if (attempts.hasOpen() || mayResend(current, nowNanos)) {
        return attemptFailed(current, "status " + head.status(), target, nowNanos);
      }
      return relay(attempt);
    }
    attempts.close(attempt);
    if (head.status() < SERVER_ERROR) {
      long elapsedNanos = nowNanos - attempts.startedNanos(attempt);
      dispatcher.served(current, target, elapsedNanos, atNominalSpeed[attempt], nowNanos);
      dispatcher.limitStated(target, head.requestLimit(), nowNanos);
      head.bodyBytes().ifPresent(bytes -> dispatcher.responseSized(current, bytes));
    } else {
      dispatcher.failed(target, nowNanos);
    }
    return relayUnlessUnproved(current, attempt, head.status(), nowNanos);
  }

  /** Handles the response of another entry to a request that was forwarded to it. */
  private Decision forwardedResponse(
      PlacementTicket current, int attempt, ResponseHead head, long nowNanos) {
    int entry = attempts.target(attempt);
    attempts.close(attempt);
    if (head.status() == MISDIRECTED) {
      attempts.markUnsent(attempt);
      dispatcher.failed(entry, nowNanos);
      return attemptFailed(current, "turned away by the entry", entry, nowNanos);
    }
    dispatcher.abandoned(entry);
    if (!head.notRun()) {
      return relayUnlessUnproved(current, attempt, head.status(), nowNanos);
    }
    attempts.markNotRun(attempt);
    if (attempts.hasOpen() || isPlacing) {
      return await();
    }
    return giveUp(
        new Failure(Step.AWAIT_RESPONSE, peer(entry), "refused by the entry"),
        head.holdOffMillis().orElse(STARTING_RETRY_AFTER_MILLIS),
        nowNanos);
  }

  private Decision relayUnlessUnproved(
      PlacementTicket current, int attempt, int status, long nowNanos) {
    int target = attempts.target(attempt);
    if (REFUSALS.contains(status) && !current.route().isIdempotent()) {
      // Relaying the status would promise that the request did not run, which is not proved.
      Failure unprovedRefusal =
          new Failure(
              Step.AWAIT_RESPONSE, peer(target), "refusal without proof that it did not run");
      return giveUp(unprovedRefusal, 0, nowNanos);
    }
    recorder.relayed(
        current.route(), attempt, target, status, attempts.startedNanos(attempt), nowNanos);
    return relay(attempt);
  }

  @Override
  public void announced(int attempt, ResponseHead head, long nowNanos) {
    if (attempt >= attempts.size() || !head.hasAnnouncement()) {
      return;
    }
    int target = attempts.target(attempt);
    if (RequestForwarding.isEntry(target)) {
      // The entry that received it from the target sends it to all entries.
      return;
    }
    recorder.announced(target, head, nowNanos);
    dispatcher.announced(target, head, nowNanos);
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
    int target = attempts.target(attempt);
    ends.connectionFailed(current, attempt, fault, nowNanos);
    return attemptFailed(current, "connection " + fault, target, nowNanos);
  }

  @Override
  public Decision timer(long nowNanos) {
    PlacementTicket current = ticket;
    if (current == null || phase == Phase.DONE) {
      return await();
    }
    if (phase == Phase.RELAYING) {
      return nowNanos >= relayDeadlineNanos ? cutRelay() : await();
    }
    if (nowNanos >= deadlineNanos) {
      return timedOut(nowNanos);
    }
    if (nowNanos >= hedgeAtNanos) {
      hedgeAtNanos = AttemptTable.NEVER;
      boolean mayHedge = !isPlacing && attempts.hasOpen() && mayResend(current, nowNanos);
      if (mayHedge && dispatcher.tryTakeRetry(current, nowNanos)) {
        dispatcher.placeAgain(current, nowNanos);
        isPlacing = true;
      }
    }
    return isPlacing ? place(current, nowNanos) : await();
  }

  @Override
  public Decision cancelled(long nowNanos) {
    ends.abandonAll();
    phase = Phase.DONE;
    return new Decision.Finish();
  }

  /** Ends a response that the caller no longer waits for, such as one without end. */
  private Decision cutRelay() {
    phase = Phase.DONE;
    return new Decision.Abort(
        new Failure(
            Step.RELAY_RESPONSE,
            peer(attempts.target(relayedAttempt)),
            "response not complete after the deadline of the caller"));
  }

  @Override
  public long nextTimerNanos() {
    if (phase == Phase.RELAYING) {
      return relayDeadlineNanos;
    }
    if (phase != Phase.ACTIVE) {
      return AttemptTable.NEVER;
    }
    return Math.min(deadlineNanos, Math.min(placeAtNanos, hedgeAtNanos));
  }

  private Decision place(PlacementTicket current, long nowNanos) {
    placeAtNanos = AttemptTable.NEVER;
    boolean isForOtherEntry =
        dispatcher.forwarding().isIsolated() || !dispatcher.stop().maySend(current, nowNanos);
    if (isForwardedHere && isForOtherEntry && attempts.nothingSent()) {
      return answer(MISDIRECTED, "this entry reaches no target either, or stops", 0, nowNanos);
    }
    long blockedMillis = dispatcher.crashes().blockedMillis(ends.fingerprint(), nowNanos);
    if (blockedMillis > 0) {
      isPlacing = false;
      return attempts.hasOpen() ? await() : blocked(blockedMillis, nowNanos);
    }
    Placement placement = dispatcher.place(current, nowNanos);
    if (placement instanceof Placement.Pending pending) {
      placeAtNanos = pending.placeAgainAtNanos();
      return await();
    }
    isPlacing = false;
    if (placement instanceof Placement.Chosen chosen) {
      return send(current, chosen.target(), nowNanos);
    }
    if (attempts.hasOpen()) {
      return await();
    }
    Placement.Refused refused = (Placement.Refused) placement;
    return giveUp(refused.failure(), refused.retryAfterMillis(), nowNanos);
  }

  private Decision blocked(long millis, long nowNanos) {
    String detail =
        "targets ended under requests with fingerprint " + Long.toHexString(ends.fingerprint());
    Failure failure = new Failure(Step.SELECT_TARGET, Failure.LOCAL, detail);
    return giveUp(failure, millis, nowNanos);
  }

  private Decision send(PlacementTicket current, int target, long nowNanos) {
    int attempt = attempts.open(target, nowNanos);
    atNominalSpeed[attempt] = dispatcher.isAtNominalSpeed(target, nowNanos);
    hedgeAtNanos = HedgeSchedule.hedgeAtNanos(dispatcher, current, target, nowNanos);
    recorder.sent(current, attempt, target, nowNanos);
    ends.started(target, nowNanos);
    return new Decision.Send(attempt, target, ConnectionKind.RECENTLY_LIVE, deadlineNanos);
  }

  private Decision relay(int attempt) {
    ends.abandonAll();
    phase = Phase.RELAYING;
    relayedAttempt = attempt;
    return new Decision.Relay(attempt);
  }

  /** Handles a failed attempt: places the request on another target or finishes it. */
  private Decision attemptFailed(
      PlacementTicket current, String detail, int target, long nowNanos) {
    int last = attempts.size() - 1;
    boolean mayHaveRun = NotRunProof.of(attempts).isEmpty();
    recorder.attemptFailed(last, target, detail, mayHaveRun, nowNanos);
    if (attempts.hasOpen() || isPlacing) {
      return await();
    }
    boolean mayResend = mayResend(current, nowNanos);
    boolean needsNoBudget = attempts.nothingSent();
    if (mayResend && (needsNoBudget || dispatcher.tryTakeRetry(current, nowNanos))) {
      dispatcher.placeAgain(current, nowNanos);
      isPlacing = true;
      return place(current, nowNanos);
    }
    return giveUp(
        new Failure(Step.AWAIT_RESPONSE, peer(target), detail),
        dispatcher.retryAfterMillis(current, nowNanos),
        nowNanos);
  }

  private boolean mayResend(PlacementTicket current, long nowNanos) {
    if (attempts.isFull() || nowNanos >= deadlineNanos) {
      return false;
    }
    if (earlierAttempts + attempts.sentCount() >= current.route().maxAttempts()) {
      return false;
    }
    boolean isSafe = current.route().isIdempotent() || NotRunProof.of(attempts).isPresent();
    return isSafe
        && dispatcher.stop().maySend(current, nowNanos)
        && dispatcher.crashes().mayResend(ends.fingerprint(), nowNanos);
  }

  private Decision timedOut(long nowNanos) {
    ends.timeOutAll(nowNanos);
    return giveUp(
        new Failure(Step.AWAIT_RESPONSE, Failure.LOCAL, "time-out of the route or the caller"),
        STARTING_RETRY_AFTER_MILLIS,
        nowNanos);
  }

  /** Ends the request: as refused when it provably did not run, else with an unknown outcome. */
  private Decision giveUp(Failure failure, long retryAfterMillis, long nowNanos) {
    ends.abandonAll();
    phase = Phase.DONE;
    return answers.givenUp(failure, retryAfterMillis, nowNanos);
  }

  /** Answers a request that was not placed. */
  private Decision answer(int status, String detail, long retryAfterMillis, long nowNanos) {
    ends.abandonAll();
    phase = Phase.DONE;
    return answers.notPlaced(status, detail, retryAfterMillis, nowNanos);
  }

  private String peer(int target) {
    return "target " + target;
  }

  private Decision await() {
    return phase == Phase.DONE ? new Decision.Finish() : new Decision.Await(nextTimerNanos());
  }
}
