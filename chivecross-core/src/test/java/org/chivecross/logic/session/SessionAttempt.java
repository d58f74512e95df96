package org.chivecross.logic.session;

/** One attempt of a request at a target, seen from both ends. */
final class SessionAttempt {

  /** End of the connection at the entry. */
  enum EntrySide {
    CONNECTING,
    WAITING,
    RELAYING,
    CLOSED
  }

  /** What the target did. */
  enum TargetSide {
    NOTHING,
    RECEIVED,
    RAN,
    SHED,
    BUSY
  }

  final int number;
  final int target;
  EntrySide entrySide = EntrySide.CONNECTING;
  TargetSide targetSide = TargetSide.NOTHING;

  SessionAttempt(int number, int target) {
    this.number = number;
    this.target = target;
  }

  @Override
  public String toString() {
    return number + "@" + target + entrySide + targetSide;
  }
}
