package org.chivecross.cli.entry.http;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.request.ConnectionKind;
import org.chivecross.model.request.Decision;
import org.jspecify.annotations.Nullable;

/** The attempts of one exchange in the order of their start. Guarded by the exchange's lock. */
final class AttemptList {

  private final List<Attempt> attempts = new ArrayList<>(1);
  private boolean passedOn;

  void add(Attempt attempt) {
    attempts.add(attempt);
  }

  /**
   * Returns the kind of connection for a further attempt: a new one if the request has already been
   * sent to its address. A late copy of that response carries the same id and could not be told
   * apart on the same connection. Several targets have one address while the registration of an
   * earlier one lasts.
   */
  ConnectionKind kindFor(Decision.Send send, DataPathPorts ports) {
    Optional<InetSocketAddress> address = ports.addresses().address(send.target());
    for (Attempt attempt : attempts) {
      if (address.filter(attempt::isSentTo).isPresent()) {
        return ConnectionKind.FRESH;
      }
    }
    return send.kind();
  }

  int size() {
    return attempts.size();
  }

  /** Records that the request was passed to another entry, which may run it. */
  void markPassedOn() {
    passedOn = true;
  }

  /** Returns whether a byte of any attempt may have been sent, also by another entry. */
  boolean isAnySent() {
    return passedOn || sentCount() > 0;
  }

  /** Returns the number of attempts of which a byte may have been sent. */
  int sentCount() {
    return (int) attempts.stream().filter(Attempt::isSent).count();
  }

  /** Returns the monotonic time at which an attempt was last sent; 0 if none was. */
  long lastSentNanos() {
    long last = 0;
    for (Attempt attempt : attempts) {
      if (attempt.isSent() && (last == 0 || attempt.sentNanos() - last > 0)) {
        last = attempt.sentNanos();
      }
    }
    return last;
  }

  /** Returns the targets to which the request was sent and of which no response is complete. */
  List<Integer> targetsAtWork() {
    return attempts.stream()
        .filter(attempt -> attempt.isSent() && !attempt.isOver())
        .map(Attempt::target)
        .toList();
  }

  /** Returns one attempt and abandons all others. */
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

  /** Returns an attempt whose connection was not available in time, if any. */
  @Nullable Attempt findTimedOut(long timeoutNanos, long nowNanos) {
    for (Attempt attempt : attempts) {
      if (attempt.connectDeadlineNanos(timeoutNanos) <= nowNanos) {
        return attempt;
      }
    }
    return null;
  }

  /** Returns the earliest end of a wait for a connection, or {@code Long.MAX_VALUE}. */
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

  /** Closes inactive idle connections to targets whose response is overdue. */
  void closeSuspects(ExchangeServices services, Route route, long nowNanos) {
    for (Attempt attempt : attempts) {
      long firstByteTimeoutNanos =
          services
              .ports()
              .firstByteTimeout()
              .firstByteTimeoutNanos(attempt.target(), route.requestClass());
      if (attempt.markSuspectIfFirstByteOverdue(firstByteTimeoutNanos, nowNanos)) {
        services
            .ports()
            .observer()
            .silentConnectionFound(services.client().closeSuspects(attempt.target(), nowNanos));
      }
    }
  }
}
