package org.chivecross.cli.load;

import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import org.chivecross.cli.history.BodyDigest;
import org.chivecross.cli.history.HistoryWriter;
import org.chivecross.model.history.HistoryEvent;

/** Writes the history events of callers. Thread-safe, as the history writer is. */
final class CallRecorder {

  /** Response header in which an entry reports the outcome of a request. */
  static final String OUTCOME_HEADER = "Chivecross-Outcome";

  private final HistoryWriter history;

  CallRecorder(HistoryWriter history) {
    this.history = history;
  }

  void recordCall(PlannedRequest planned, int attempt, String key, String entry, byte[] body) {
    history.write(
        (at, by) ->
            new HistoryEvent.Call(
                at,
                by,
                planned.attemptId(attempt),
                planned.kind().requestClass(),
                key,
                entry,
                BodyDigest.of(body)));
  }

  void recordAnswer(PlannedRequest planned, int attempt, HttpResponse<byte[]> response) {
    history.write(
        (at, by) ->
            new HistoryEvent.Answer(
                at,
                by,
                planned.attemptId(attempt),
                response.statusCode(),
                response.headers().firstValue(OUTCOME_HEADER).orElse(""),
                BodyDigest.of(response.body()),
                response.body().length));
  }

  void recordBroken(PlannedRequest planned, int attempt, Throwable cause) {
    String reason = cause instanceof HttpTimeoutException ? "timeout" : "closed";
    history.write((at, by) -> new HistoryEvent.Broken(at, by, planned.attemptId(attempt), reason));
  }
}
