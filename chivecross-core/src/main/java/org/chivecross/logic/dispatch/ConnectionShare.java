package org.chivecross.logic.dispatch;

/** An entry's part of the connections that a target accepts from all entries. Stateless. */
final class ConnectionShare {

  /** Part of the connections that is used; a target accepts fewer while its queue is long. */
  private static final double USED_PART = 0.5;

  /** Connections that any entry may have: for two requests and a probe. */
  private static final int LEAST = 3;

  private ConnectionShare() {}

  /**
   * Returns the most connections of this entry to one target.
   *
   * @param accepted connections that the target accepts from all entries
   * @param part this entry's part of the requests, from 0 to 1
   */
  static int limit(int accepted, double part) {
    return Math.max(LEAST, (int) (USED_PART * accepted * part));
  }
}
