package org.chivecross.logic.request;

import java.util.concurrent.TimeUnit;
import org.chivecross.logic.dispatch.DispatchEvent;
import org.chivecross.logic.dispatch.DispatchJournal;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.dispatch.PlacementTicket;
import org.chivecross.logic.dispatch.RequestForwarding;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.request.ResponseHead;
import org.chivecross.model.ruleset.RouteRule;

/** Records the decisions about one request, with the data on which they rest. Not thread-safe. */
final class RequestRecorder {

  private final Dispatcher dispatcher;
  private final DispatchJournal journal;
  private String requestId = "";
  private long arrivedNanos;

  RequestRecorder(Dispatcher dispatcher, DispatchJournal journal) {
    this.dispatcher = dispatcher;
    this.journal = journal;
  }

  void arrived(String id, long nowNanos) {
    requestId = id;
    arrivedNanos = nowNanos;
  }

  void sent(PlacementTicket ticket, int attempt, int target, long nowNanos) {
    if (RequestForwarding.isEntry(target)) {
      RequestForwarding forwarding = dispatcher.forwarding();
      String entry = forwarding.ip(target).orElse("");
      journal.record(
          requestId, new DispatchEvent.Forwarded(attempt, entry, forwarding.inFlight(target)));
      return;
    }
    long expectedMillis = Math.round(dispatcher.expectedMillis(ticket, target, nowNanos));
    journal.record(
        requestId,
        new DispatchEvent.Sent(
            attempt,
            dispatcher.targetLoad(target, nowNanos),
            expectedMillis,
            dispatcher.usableTargets(ticket)));
  }

  void attemptFailed(int attempt, int target, String detail, boolean mayHaveRun, long nowNanos) {
    journal.record(
        requestId,
        new DispatchEvent.AttemptFailed(
            attempt, dispatcher.targetLoad(target, nowNanos), detail, mayHaveRun));
  }

  /** Records what a target announced in a response. */
  void announced(int target, ResponseHead head, long nowNanos) {
    String id = dispatcher.targetLoad(target, nowNanos).id();
    if (head.leaving()) {
      journal.record(requestId, new DispatchEvent.TargetLeaving(id));
    }
    head.holdOffMillis()
        .ifPresent(
            millis -> journal.record(requestId, new DispatchEvent.TargetHeldOff(id, millis)));
  }

  /** Records an answer of the entry itself. */
  void answered(int status, Failure failure, long retryAfterMillis, long nowNanos) {
    journal.record(
        requestId,
        new DispatchEvent.Answered(
            status, failure, retryAfterMillis, millisSince(arrivedNanos, nowNanos)));
  }

  /** Records the answer of a target if it comes later than the latency objective. */
  void relayed(
      RouteRule route, int attempt, int target, int status, long sentNanos, long nowNanos) {
    long totalMillis = millisSince(arrivedNanos, nowNanos);
    if (totalMillis <= route.latencyObjectiveMillis()) {
      return;
    }
    journal.record(
        requestId,
        new DispatchEvent.AnsweredLate(
            attempt,
            dispatcher.targetLoad(target, nowNanos),
            status,
            millisSince(sentNanos, nowNanos),
            totalMillis,
            route.latencyObjectiveMillis()));
  }

  private static long millisSince(long earlierNanos, long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - earlierNanos);
  }
}
