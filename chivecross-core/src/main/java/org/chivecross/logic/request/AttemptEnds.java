package org.chivecross.logic.request;

import org.chivecross.logic.dispatch.CrashDetection;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.dispatch.PlacementTicket;
import org.chivecross.logic.dispatch.RequestForwarding;
import org.chivecross.model.request.ConnectionFault;

/**
 * Reports the starts and ends of the attempts of one request to the dispatcher. Invariant: each
 * attempt that was started ends there exactly once. Not thread-safe.
 */
final class AttemptEnds {

  private final Dispatcher dispatcher;
  private final AttemptTable attempts;
  private long fingerprint;
  private boolean isMarkedInFlight;

  AttemptEnds(Dispatcher dispatcher, AttemptTable attempts) {
    this.dispatcher = dispatcher;
    this.attempts = attempts;
  }

  void arrived(long requestFingerprint) {
    fingerprint = requestFingerprint;
  }

  long fingerprint() {
    return fingerprint;
  }

  void started(int target, long nowNanos) {
    dispatcher.started(target);
    if (!RequestForwarding.isEntry(target)) {
      isMarkedInFlight |= dispatcher.crashes().sent(fingerprint, nowNanos);
    }
  }

  /** Closes an attempt whose connection failed. */
  void connectionFailed(PlacementTicket ticket, int attempt, ConnectionFault fault, long nowNanos) {
    attempts.close(attempt);
    int target = attempts.target(attempt);
    if (fault == ConnectionFault.LOCAL) {
      dispatcher.abandoned(target);
      return;
    }
    if (fault == ConnectionFault.MALFORMED || fault == ConnectionFault.LIMITED) {
      dispatcher.failed(target, nowNanos);
    } else {
      dispatcher.connectionFailed(target, nowNanos);
    }
    if (fault == ConnectionFault.REFUSED || fault == ConnectionFault.CONNECT_TIMEOUT) {
      ticket.connectFailed();
    }
    if (RequestForwarding.isEntry(target)) {
      return;
    }
    CrashDetection crashes = dispatcher.crashes();
    if (fault == ConnectionFault.REFUSED) {
      crashes.connectionRefused(target, nowNanos);
    } else if (fault == ConnectionFault.CLOSED && attempts.isSent(attempt)) {
      crashes.connectionClosed(target, fingerprint, nowNanos);
    }
  }

  /** Closes the attempts without a response when the time of the request is over. */
  void timeOutAll(long nowNanos) {
    for (int i = 0; i < attempts.size(); i++) {
      if (attempts.isOpen(i)) {
        attempts.close(i);
        dispatcher.timedOut(attempts.target(i), nowNanos);
      }
    }
  }

  /** Closes an attempt whose result is no longer needed. */
  void abandon(int attempt) {
    if (attempts.isOpen(attempt)) {
      attempts.close(attempt);
      dispatcher.abandoned(attempts.target(attempt));
    }
  }

  /** Closes the open attempts, whose results are no longer needed. */
  void abandonAll() {
    for (int i = 0; i < attempts.size(); i++) {
      abandon(i);
    }
    if (isMarkedInFlight) {
      isMarkedInFlight = false;
      dispatcher.crashes().ended(fingerprint);
    }
  }
}
