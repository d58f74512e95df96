package org.chivecross.cli.entry.http;

import java.util.ArrayList;
import java.util.List;
import org.chivecross.logic.routing.Route;
import org.jspecify.annotations.Nullable;

/** Attempts of one exchange in the order of their start. Guarded by the lock of the exchange. */
final class AttemptList {

  private final List<Attempt> attempts = new ArrayList<>(1);

  void add(Attempt attempt) {
    attempts.add(attempt);
  }

  int size() {
    return attempts.size();
  }

  /** Returns whether a byte of any attempt may have left. */
  boolean isAnySent() {
    for (Attempt attempt : attempts) {
      if (attempt.isSent()) {
        return true;
      }
    }
    return false;
  }

  /** Returns one attempt and ends all others. */
  @Nullable Attempt keepOnly(int number) {
    Attempt kept = null;
    for (Attempt attempt : attempts) {
      if (attempt.number() == number) {
        kept = attempt;
      } else {
        attempt.abandon();
      }
    }
    return kept;
  }

  /** Returns an attempt that has waited too long for its connection. */
  @Nullable Attempt findConnectTimedOut(long timeoutNanos, long nowNanos) {
    for (Attempt attempt : attempts) {
      if (attempt.connectDeadlineNanos(timeoutNanos) <= nowNanos) {
        return attempt;
      }
    }
    return null;
  }

  /** Returns when the next wait for a connection ends, or {@code Long.MAX_VALUE}. */
  long nextConnectDeadlineNanos(long timeoutNanos) {
    long next = Long.MAX_VALUE;
    for (Attempt attempt : attempts) {
      next = Math.min(next, attempt.connectDeadlineNanos(timeoutNanos));
    }
    return next;
  }

  void abandonAll() {
    for (Attempt attempt : attempts) {
      attempt.abandon();
    }
  }

  /** Closes idle neighbours of connections on which the first byte is overdue. */
  void closeSuspects(ExchangeServices services, Route route, long nowNanos) {
    for (Attempt attempt : attempts) {
      long silence =
          services.ports().silence().silenceNanos(attempt.target(), route.requestClass());
      if (attempt.markSuspectIfSilent(silence, nowNanos)) {
        services
            .ports()
            .observer()
            .silentConnectionFound(services.client().closeSuspects(attempt.target(), nowNanos));
      }
    }
  }
}
