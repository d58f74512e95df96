package org.chivecross.cli.entry.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import org.chivecross.cli.log.EventLog;
import org.chivecross.logic.dispatch.DispatchEvent;
import org.chivecross.logic.dispatch.DispatchJournal;

/** Writes the decisions about requests to the event log. Thread-safe. */
final class DecisionLogger implements DispatchJournal {

  private final EventLog log;

  DecisionLogger(EventLog log) {
    this.log = log;
  }

  @Override
  public void record(String requestId, DispatchEvent event) {
    if (event instanceof DispatchEvent.TargetLeaving left) {
      log.info("target announced its shutdown", targetFields(requestId, left.target()));
      return;
    }
    if (event instanceof DispatchEvent.TargetHeldOff heldOff) {
      Map<String, String> fields = targetFields(requestId, heldOff.target());
      fields.put("holdOffMillis", Long.toString(heldOff.millis()));
      log.info("target asked for a hold-off", fields);
      return;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("request", requestId);
    if (event instanceof DispatchEvent.Sent sent) {
      fields.put("attempt", Integer.toString(sent.attempt()));
      putTarget(fields, sent.target());
      fields.put("expectedMillis", Long.toString(sent.expectedMillis()));
      fields.put("usableTargets", Integer.toString(sent.usableTargets()));
      log.info("request sent", fields);
    } else if (event instanceof DispatchEvent.Forwarded forwarded) {
      fields.put("attempt", Integer.toString(forwarded.attempt()));
      fields.put("entry", forwarded.entry());
      fields.put("inFlight", Integer.toString(forwarded.inFlight()));
      log.info("request forwarded", fields);
    } else if (event instanceof DispatchEvent.AttemptFailed failed) {
      fields.put("attempt", Integer.toString(failed.attempt()));
      putTarget(fields, failed.target());
      fields.put("cause", failed.detail());
      fields.put("mayHaveRun", Boolean.toString(failed.mayHaveRun()));
      log.warn("attempt failed", fields);
    } else if (event instanceof DispatchEvent.AnsweredLate late) {
      fields.put("attempt", Integer.toString(late.attempt()));
      putTarget(fields, late.target());
      fields.put("status", Integer.toString(late.status()));
      fields.put("targetMillis", Long.toString(late.targetMillis()));
      fields.put("totalMillis", Long.toString(late.totalMillis()));
      fields.put("objectiveMillis", Long.toString(late.objectiveMillis()));
      log.info("request answered late", fields);
    } else if (event instanceof DispatchEvent.Answered answered) {
      fields.put("status", Integer.toString(answered.status()));
      fields.put("step", answered.failure().step().name());
      fields.put("peer", answered.failure().peer());
      fields.put("cause", answered.failure().detail());
      fields.put("retryAfterMillis", Long.toString(answered.retryAfterMillis()));
      fields.put("waitedMillis", Long.toString(answered.waitedMillis()));
      log.warn("request answered by the entry", fields);
    }
  }

  private static Map<String, String> targetFields(String requestId, String target) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("request", requestId);
    fields.put("target", target);
    return fields;
  }

  private static void putTarget(Map<String, String> fields, DispatchEvent.TargetLoad target) {
    fields.put("target", target.id());
    fields.put("running", Integer.toString(target.running()));
    fields.put("waiting", Integer.toString(target.waiting()));
    fields.put("slowdownPercent", Integer.toString(target.slowdownPercent()));
    fields.put("reportAgeMillis", Long.toString(target.reportAgeMillis()));
  }
}
