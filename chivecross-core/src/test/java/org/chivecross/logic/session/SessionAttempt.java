package org.chivecross.logic.session;

/** One attempt of a request at a target, with the state on both sides of the connection. */
final class SessionAttempt {

  /** State of the attempt at the entry. */
  enum EntrySide {
    CONNECTING,
    WAITING,
    RELAYING,
    CLOSED
  }

  /** State of the attempt at the target. */
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
