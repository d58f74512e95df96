package org.chivecross.cli.load;

import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.chivecross.cli.history.BodyDigest;
import org.chivecross.cli.history.HistoryWriter;

/** Writes the history lines of a caller. Thread-safe, as the writer is. */
final class CallRecorder {

  /** Header by which an entry tells what became of a request. */
  static final String OUTCOME_HEADER = "Chivecross-Outcome";

  private final HistoryWriter history;

  CallRecorder(HistoryWriter history) {
    this.history = history;
  }

  void called(RequestTicket ticket, int attempt, String key, String entry, byte[] body) {
    if (!history.isOpen()) {
      return;
    }
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("request", ticket.copyId(attempt));
    line.put("class", ticket.kind().className());
    if (!key.isEmpty()) {
      line.put("key", key);
    }
    line.put("entry", entry);
    line.put("digest", BodyDigest.of(body));
    history.write("call", line);
  }

  void answered(RequestTicket ticket, int attempt, HttpResponse<byte[]> response) {
    if (!history.isOpen()) {
      return;
    }
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("request", ticket.copyId(attempt));
    line.put("status", response.statusCode());
    line.put("outcome", response.headers().firstValue(OUTCOME_HEADER).orElse(""));
    line.put("digest", BodyDigest.of(response.body()));
    line.put("length", response.body().length);
    history.write("answer", line);
  }

  void broken(RequestTicket ticket, int attempt, Throwable cause) {
    if (!history.isOpen()) {
      return;
    }
    String reason = cause instanceof HttpTimeoutException ? "timeout" : "closed";
    history.write("broken", Map.of("request", ticket.copyId(attempt), "reason", reason));
  }
}
