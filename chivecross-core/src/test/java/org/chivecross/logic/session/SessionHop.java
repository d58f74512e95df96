package org.chivecross.logic.session;

import java.util.ArrayList;
import java.util.List;
import org.chivecross.logic.request.RequestMachine;
import org.jspecify.annotations.Nullable;

/** One request at one entry; a forwarded request has a hop at each of the two entries. */
final class SessionHop {

  final SessionCall call;
  final SessionEntry entry;
  final RequestMachine machine;
  final long deadlineNanos;
  final List<SessionAttempt> attempts = new ArrayList<>();

  /** Owner of the key to which the request is being forwarded, until it arrives there. */
  @Nullable SessionEntry forwardingTo;

  /** Number of the attempt whose answer is relayed to the caller, or -1. */
  int relayedAttempt = -1;

  boolean isFinished;

  SessionHop(SessionCall call, SessionEntry entry, long deadlineNanos) {
    this.deadlineNanos = deadlineNanos;
    this.call = call;
    this.entry = entry;
    machine = entry.machines.create();
  }

  boolean hasOpenAttempt() {
    return attempts.stream()
        .anyMatch(attempt -> attempt.entrySide != SessionAttempt.EntrySide.CLOSED);
  }

  void closeAttempts(int kept) {
    for (SessionAttempt attempt : attempts) {
      if (attempt.number != kept) {
        attempt.entrySide = SessionAttempt.EntrySide.CLOSED;
      }
    }
  }

  @Override
  public String toString() {
    String owner = forwardingTo == null ? "" : forwardingTo.name;
    return call.id + entry.name + isFinished + owner + attempts + machine;
  }
}
