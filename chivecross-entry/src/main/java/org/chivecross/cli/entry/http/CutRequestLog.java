package org.chivecross.cli.entry.http;

import java.util.LinkedHashMap;
import java.util.Map;
import org.chivecross.cli.log.EventLog;
import org.chivecross.model.request.Outcome;
import org.glassfish.grizzly.http.HttpRequestPacket;

/** Writes requests without an answer to the event log, which limits their number. Thread-safe. */
final class CutRequestLog implements CutRequestListener {

  private final EventLog log;
  private final RequestDialect dialect;

  CutRequestLog(EventLog log, RequestDialect dialect) {
    this.log = log;
    this.dialect = dialect;
  }

  @Override
  public void requestCut(HttpRequestPacket request, CloseReason reason, Outcome outcome) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("request", dialect.requestId(request.getHeaders()).orElse(""));
    fields.put("reason", reason.name());
    fields.put("sentToTarget", Boolean.toString(outcome != Outcome.NOT_RUN));
    fields.put("peer", RequestHeads.callerAddress(request.getConnection()));
    if (reason == CloseReason.LIBRARY) {
      fields.put("cause", String.valueOf(request.getConnection().getCloseReason().getCause()));
    }
    log.warn("connection closed without an answer", fields);
  }
}
