package org.chivecross.cli.entry.http;

import java.util.Optional;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.request.Outcome;

/** Times of one exchange, in monotonic nanoseconds. Guarded by the lock of the exchange. */
final class ExchangeTimes {

  private final long arrivedNanos;
  private long readyNanos;
  private long firstSendNanos;
  private long sentNanos;
  private long headNanos;

  ExchangeTimes(long arrivedNanos) {
    this.arrivedNanos = arrivedNanos;
    readyNanos = arrivedNanos;
  }

  long arrivedNanos() {
    return arrivedNanos;
  }

  long readyNanos() {
    return readyNanos;
  }

  /** Records that head and body have arrived as far as the decisions need them. */
  void ready(long nowNanos) {
    readyNanos = nowNanos;
  }

  /** Records the decision to start an attempt; only the first one counts. */
  void attemptDecided(long nowNanos) {
    if (firstSendNanos == 0) {
      firstSendNanos = nowNanos;
    }
  }

  /** Records that the head of the relayed response was read. */
  void headRead(long attemptSentNanos, long nowNanos) {
    sentNanos = attemptSentNanos;
    headNanos = nowNanos;
  }

  ExchangeSummary summary(
      Optional<Route> route, int status, Outcome outcome, int attempts, long nowNanos) {
    long upstream = headNanos - sentNanos;
    return new ExchangeSummary(
        route,
        status,
        outcome,
        attempts,
        nowNanos - arrivedNanos,
        firstSendNanos == 0 ? 0 : firstSendNanos - readyNanos,
        upstream,
        headNanos == 0 ? 0 : headNanos - readyNanos - upstream);
  }
}
