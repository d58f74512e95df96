package org.chivecross.cli.entry.key;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.chivecross.cli.entry.http.LocalResponse;
import org.chivecross.cli.entry.http.ProblemAnswers;
import org.chivecross.logic.key.KeyClaim;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.request.Outcome;

/** Creates responses that report the state of an idempotency key. Stateless. */
final class KeyStateResponses {

  static final int BAD_REQUEST = 400;
  static final int UNAVAILABLE = 503;

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private KeyStateResponses() {}

  /** Returns the response to a query or a cancellation that the owner of the key has handled. */
  static LocalResponse of(KeyClaim claim) {
    if (claim instanceof KeyClaim.Finished finished) {
      return stateResponse("finished", finished.outcome(), finished.status());
    }
    if (claim instanceof KeyClaim.Fenced) {
      return stateResponse("fenced", Outcome.NOT_RUN, 0);
    }
    if (claim instanceof KeyClaim.Run) {
      // A delayed copy of the request may still arrive and run; only a cancellation prevents that.
      return stateResponse("never-run", Outcome.UNKNOWN, 0);
    }
    if (claim instanceof KeyClaim.InFlight) {
      return stateResponse("in-flight", Outcome.UNKNOWN, 0);
    }
    if (claim instanceof KeyClaim.OutsideWindow) {
      return stateResponse("outside-window", Outcome.UNKNOWN, 0);
    }
    if (claim instanceof KeyClaim.TableFull) {
      return unknown("no room to fence the key");
    }
    return malformed();
  }

  /** Returns the response for a key whose state could not be determined. */
  static LocalResponse unknown(String detail) {
    Failure failure = new Failure(Step.KEY_LOOKUP, Failure.LOCAL, detail);
    return ProblemAnswers.of(
        UNAVAILABLE, Outcome.UNKNOWN, failure, OptionalLong.of(RETRY_AFTER_MILLIS));
  }

  /** Returns the response to a malformed key: it needs an issued prefix and a unique part. */
  static LocalResponse malformed() {
    Failure failure =
        new Failure(Step.KEY_LOOKUP, Failure.LOCAL, "key needs an issued prefix and a unique part");
    return ProblemAnswers.of(BAD_REQUEST, Outcome.NOT_RUN, failure, OptionalLong.empty());
  }

  private static LocalResponse stateResponse(String state, Outcome outcome, int status) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Cache-Control", "no-store");
    headers.put("Chivecross-Outcome", outcome.headerValue());
    String body =
        String.format(
            "{\"state\":\"%s\",\"outcome\":\"%s\",\"status\":%d}%n",
            state, outcome.headerValue(), status);
    return LocalResponse.text(200, headers, "application/json", body);
  }
}
