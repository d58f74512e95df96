package org.chivecross.cli.entry.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.chivecross.cli.log.EventLog;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Writes requests that callers abandon after they were sent to a target to the event log, which
 * limits their number. Thread-safe.
 */
final class AbandonedRequestLog {

  private final EventLog log;
  private final RequestDialect dialect;
  private final SelectorRounds rounds;

  AbandonedRequestLog(EventLog log, RequestDialect dialect, SelectorRounds rounds) {
    this.log = log;
    this.dialect = dialect;
    this.rounds = rounds;
  }

  /**
   * Writes a request whose caller has closed its connection.
   *
   * @param attempts its attempts, of which at least one was sent
   * @param isReaderSuspended whether the entry has stopped reading from the caller
   */
  void abandoned(
      HttpRequestPacket request,
      ExchangeTimes times,
      AttemptList attempts,
      boolean isReaderSuspended) {
    long now = System.nanoTime();
    long sentNanos = attempts.lastSentNanos();
    NIOConnection connection = (NIOConnection) request.getConnection();
    long roundNanos = rounds.longestNanos(connection.getSelectorRunner(), now);
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("request", dialect.requestId(request.getHeaders()).orElse(""));
    fields.put("readToSentMillis", millis(sentNanos - times.readyNanos()));
    fields.put("sentToCloseMillis", millis(now - sentNanos));
    fields.put("selectorRoundMillis", millis(roundNanos));
    fields.put("readerSuspended", Boolean.toString(isReaderSuspended));
    log.info("caller left while its request was running", fields);
  }

  private static String millis(long nanos) {
    return Long.toString(TimeUnit.NANOSECONDS.toMillis(nanos));
  }
}
