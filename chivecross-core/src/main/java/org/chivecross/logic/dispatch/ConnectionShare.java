package org.chivecross.logic.dispatch;

/**
 * Computes one entry's share of the connections that a target accepts from all entries. Stateless.
 */
final class ConnectionShare {

  /** Fraction that is divided equally, so that every entry keeps some connections open. */
  private static final double EQUAL_FRACTION = 0.5;

  /**
   * Fraction that is divided by load. The rest is a margin: a target accepts fewer connections
   * while its queue is long.
   */
  private static final double LOAD_FRACTION = 0.4;

  /** Entries assumed until their number is known; that of the smaller deployments. */
  private static final int ASSUMED_ENTRIES = 20;

  /** Least number of connections of an entry: one for a request and one for a probe. */
  private static final int MIN_CONNECTIONS = 2;

  private ConnectionShare() {}

  /**
   * Returns the maximum number of connections from this entry to one target.
   *
   * @param accepted connections that the target accepts from all entries
   * @param entries entries that share them; 0 when unknown
   * @param share this entry's share of all requests, from 0 to 1
   */
  static int limit(int accepted, int entries, double share) {
    int sharers = entries == 0 ? ASSUMED_ENTRIES : entries;
    return Math.max(
        MIN_CONNECTIONS, (int) (accepted * (EQUAL_FRACTION / sharers + LOAD_FRACTION * share)));
  }
}
