package org.chivecross.logic.session;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.chivecross.model.history.HistoryEvent;
import org.chivecross.model.request.Outcome;

/** Records the history events and the text log of a session. */
final class SessionRecorder {

  private static final int NANOS_PER_MICRO = 1000;
  private static final int BODY_LENGTH = 10;

  private final List<HistoryEvent> events = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private final StringBuilder facts = new StringBuilder();
  private long lastEventMicros;

  void called(long now, SessionCall call, SessionEntry entry) {
    add(
        now,
        at ->
            new HistoryEvent.Call(
                at, "caller", call.id, call.requestClass, call.key, entry.name, ""));
  }

  void ran(long now, SessionCall call, SessionAttempt attempt) {
    String upstream = "t" + attempt.target;
    String digest = digest(call, attempt);
    add(
        now,
        at ->
            new HistoryEvent.Run(at, upstream, call.id, call.requestClass, call.key, upstream, ""));
    add(
        now,
        at ->
            new HistoryEvent.Ran(at, upstream, call.id, upstream, 200, digest, BODY_LENGTH, true));
    log(upstream + ": ran " + call.id);
    facts.append("ran ").append(call.id).append(';');
  }

  /** Records an error answer of a target that leaves open whether it ran the request. */
  void busy(long now, SessionCall call, SessionAttempt attempt) {
    String upstream = "t" + attempt.target;
    String digest = digest(call, attempt);
    add(
        now,
        at ->
            new HistoryEvent.Ran(at, upstream, call.id, upstream, 503, digest, BODY_LENGTH, true));
  }

  void answered(long now, SessionCall call, int status, Outcome outcome) {
    add(
        now,
        at -> new HistoryEvent.Answer(at, "caller", call.id, status, outcome.headerValue(), "", 0));
    log("caller: " + call.id + " " + status + " " + outcome.headerValue());
    facts.append(call.id).append(outcome).append(';');
  }

  void relayed(long now, SessionCall call, SessionAttempt attempt, boolean isComplete) {
    int status = attempt.targetSide == SessionAttempt.TargetSide.RAN ? 200 : 503;
    long length = isComplete ? BODY_LENGTH : BODY_LENGTH / 2;
    String digest = digest(call, attempt);
    add(now, at -> new HistoryEvent.Answer(at, "caller", call.id, status, "", digest, length));
    log("caller: " + call.id + " " + status + " from t" + attempt.target);
    facts.append(call.id).append(status).append(';');
  }

  void broken(long now, SessionCall call, String reason) {
    add(now, at -> new HistoryEvent.Broken(at, "caller", call.id, reason));
    log("caller: " + call.id + " broken, " + reason);
    facts.append(call.id).append(reason).append(';');
  }

  void fenced(long now, String key) {
    add(now, at -> new HistoryEvent.Fenced(at, "caller", key));
    facts.append("fenced;");
  }

  void add(long now, LongFunction<HistoryEvent> event) {
    lastEventMicros = Math.max(lastEventMicros + 1, now / NANOS_PER_MICRO);
    events.add(event.apply(lastEventMicros));
  }

  void log(String line) {
    log.add(line);
  }

  List<HistoryEvent> events() {
    return events;
  }

  List<String> lines() {
    return log;
  }

  /** Returns the outcomes at callers and the runs at targets, without times. */
  String facts() {
    return facts.toString();
  }

  private static String digest(SessionCall call, SessionAttempt attempt) {
    return call.id + "-by-t" + attempt.target;
  }
}
