package org.chivecross.cli.load;

import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import org.chivecross.cli.history.BodyDigest;
import org.chivecross.cli.history.HistoryWriter;
import org.chivecross.model.history.HistoryEvent;

/** Writes the history lines of a caller. Thread-safe, as the writer is. */
final class CallRecorder {

  /** Header by which an entry tells what became of a request. */
  static final String OUTCOME_HEADER = "Chivecross-Outcome";

  private final HistoryWriter history;

  CallRecorder(HistoryWriter history) {
    this.history = history;
  }

  void recordCall(PlannedRequest ticket, int attempt, String key, String entry, byte[] body) {
    history.write(
        (at, by) ->
            new HistoryEvent.Call(
                at,
                by,
                ticket.attemptId(attempt),
                ticket.kind().requestClass(),
                key,
                entry,
                BodyDigest.of(body)));
  }

  void recordAnswer(PlannedRequest ticket, int attempt, HttpResponse<byte[]> response) {
    history.write(
        (at, by) ->
            new HistoryEvent.Answer(
                at,
                by,
                ticket.attemptId(attempt),
                response.statusCode(),
                response.headers().firstValue(OUTCOME_HEADER).orElse(""),
                BodyDigest.of(response.body()),
                response.body().length));
  }

  void recordBroken(PlannedRequest ticket, int attempt, Throwable cause) {
    String reason = cause instanceof HttpTimeoutException ? "timeout" : "closed";
    history.write((at, by) -> new HistoryEvent.Broken(at, by, ticket.attemptId(attempt), reason));
  }
}
