package org.chivecross.logic.dispatch;

/** An entry's part of the connections that a target accepts from all entries. Stateless. */
final class ConnectionShare {

  /** Part of the connections that is divided equally; all entries keep some ready. */
  private static final double EQUAL_FRACTION = 0.5;

  /** Part that is divided by load. The rest is spare: fewer are accepted while a queue is long. */
  private static final double LOAD_FRACTION = 0.4;

  /** Entries that are assumed before others are known, as many as the smaller deployments have. */
  private static final int ASSUMED_ENTRIES = 20;

  /** Connections that any entry may have: for a request and a probe. */
  private static final int MIN_CONNECTIONS = 2;

  private ConnectionShare() {}

  /**
   * Returns the most connections of this entry to one target.
   *
   * @param accepted connections that the target accepts from all entries
   * @param entries entries that share them; 0 when not known
   * @param part this entry's part of the requests, from 0 to 1
   */
  static int limit(int accepted, int entries, double part) {
    int sharers = entries == 0 ? ASSUMED_ENTRIES : entries;
    return Math.max(MIN_CONNECTIONS, (int) (accepted * (EQUAL_FRACTION / sharers + LOAD_FRACTION * part)));
  }
}
