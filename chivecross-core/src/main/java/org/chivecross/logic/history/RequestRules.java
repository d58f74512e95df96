package org.chivecross.logic.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.history.HistoryEvent;
import org.chivecross.model.history.Violation;
import org.chivecross.model.request.Outcome;

/** Rules about requests. Pure functions. */
final class RequestRules {

  private RequestRules() {}

  /** A non-idempotent request runs at most once, and so does an idempotency key. */
  static List<Violation> atMostOnce(History history) {
    List<Violation> violations = new ArrayList<>();
    history.runsByRequest().forEach((request, runs) -> addRepeated(request, runs, violations));
    history.runsByKey().forEach((key, runs) -> addRepeated(key, runs, violations));
    return violations;
  }

  private static void addRepeated(
      String subject, List<HistoryEvent.Run> runs, List<Violation> violations) {
    boolean idempotent = runs.get(0).requestClass() == RequestClass.READ;
    if (!idempotent && runs.size() > 1) {
      violations.add(new Violation("at-most-once", subject, "ran " + runs.size() + " times"));
    }
  }

  /** The outcome sent to a caller for a request that was not relayed is true. */
  static List<Violation> truthfulOutcome(History history) {
    List<Violation> violations = new ArrayList<>();
    for (HistoryEvent.Answer answer : history.all(HistoryEvent.Answer.class)) {
      if (answer.isRelayed() || answer.outcome().equals(Outcome.UNKNOWN.headerValue())) {
        continue;
      }
      HistoryEvent.Call call = history.calls().get(answer.request());
      String key = call == null ? "" : call.key();
      boolean ranBefore = history.runsOfKey(key).stream().anyMatch(run -> run.at() <= answer.at());
      boolean ran = ranBefore || !history.runsOfRequest(answer.request()).isEmpty();
      boolean claimsRun = answer.outcome().equals(Outcome.ANSWERED.headerValue());
      if (ran != claimsRun) {
        String detail = "told " + answer.outcome() + (ran ? " but ran" : " but did not run");
        violations.add(new Violation("truthful-outcome", answer.request(), detail));
      }
    }
    for (HistoryEvent.Fenced fenced : history.all(HistoryEvent.Fenced.class)) {
      if (!history.runsOfKey(fenced.key()).isEmpty()) {
        violations.add(new Violation("truthful-outcome", fenced.key(), "fenced but ran"));
      }
    }
    return violations;
  }

  /** A relayed answer is the complete answer of an upstream to the same request. */
  static List<Violation> wholeOwnAnswer(History history) {
    List<Violation> violations = new ArrayList<>();
    for (HistoryEvent.Answer answer : history.all(HistoryEvent.Answer.class)) {
      boolean hasUpstreamAnswer =
          history.ransOfRequest(answer.request()).stream().anyMatch(ran -> matches(ran, answer));
      if (answer.isRelayed() && !hasUpstreamAnswer) {
        String detail = "no upstream gave status " + answer.status() + " and this body in full";
        violations.add(new Violation("whole-own-answer", answer.request(), detail));
      }
    }
    return violations;
  }

  private static boolean matches(HistoryEvent.Ran ran, HistoryEvent.Answer answer) {
    return ran.complete()
        && ran.status() == answer.status()
        && ran.length() == answer.length()
        && ran.digest().equals(answer.digest());
  }

  /** Every call has exactly one outcome. */
  static List<Violation> oneOutcome(History history) {
    Map<String, Integer> outcomes = new HashMap<>();
    for (HistoryEvent.Answer answer : history.all(HistoryEvent.Answer.class)) {
      outcomes.merge(answer.request(), 1, Integer::sum);
    }
    for (HistoryEvent.Broken broken : history.all(HistoryEvent.Broken.class)) {
      outcomes.merge(broken.request(), 1, Integer::sum);
    }
    List<Violation> violations = new ArrayList<>();
    for (HistoryEvent.Call call : history.all(HistoryEvent.Call.class)) {
      Integer count = outcomes.remove(call.request());
      if (count == null || count != 1) {
        String detail = (count == null ? 0 : count) + " outcomes";
        violations.add(new Violation("one-outcome", call.request(), detail));
      }
    }
    outcomes.forEach(
        (request, count) ->
            violations.add(new Violation("one-outcome", request, "outcome without a call")));
    return violations;
  }
}
