package org.chivecross.cli.entry.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.cli.log.EventLog;
import org.chivecross.logic.routing.Route;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * Writes requests that are in flight when the planned stop of this entry is over to the event log,
 * which limits their number. Thread-safe.
 */
final class StoppedRequestLog {

  private final EventLog log;
  private final UpstreamClient client;
  private final RequestDialect dialect;

  StoppedRequestLog(EventLog log, UpstreamClient client, RequestDialect dialect) {
    this.log = log;
    this.client = client;
    this.dialect = dialect;
  }

  /**
   * Writes a request that is cut: its age, when it was sent, the time until its deadline and the
   * targets at work on it.
   */
  void cut(
      HttpRequestPacket request, Optional<Route> route, ExchangeTimes times, AttemptList attempts) {
    long now = System.nanoTime();
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("request", dialect.requestId(request.getHeaders()).orElse(""));
    fields.put("ageMillis", millis(now - times.arrivedNanos()));
    if (attempts.isAnySent()) {
      fields.put("sentMillisAgo", millis(now - attempts.lastSentNanos()));
    }
    long remainingMillis =
        RequestHeads.remainingMillis(request, route, times.arrivedNanos(), now, dialect);
    fields.put("remainingMillis", Long.toString(remainingMillis));
    fields.put("targets", client.addressesOf(attempts.targetsAtWork()));
    log.warn("request in flight at the end of the stop", fields);
  }

  private static String millis(long nanos) {
    return Long.toString(TimeUnit.NANOSECONDS.toMillis(nanos));
  }
}
